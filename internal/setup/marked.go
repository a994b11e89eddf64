package setup

import (
	"fmt"
	"net/netip"
	"time"

	"lagoonramp.org/lagoonramp/pkg/conf"
)

// Marked holds the settings of a host that forwards flows whose packets carry
// marks, to servers that reply directly to the callers. All addresses are
// IP:port.
type Marked struct {
	// Packets is the UDP address on which the host receives the packets of
	// callers.
	Packets string `json:"packets"`
	// Ready is the address on which the host answers the readiness checks of
	// routers.
	Ready string `json:"ready"`
	// Peer is the UDP and TCP address on which the host listens for other hosts.
	Peer string `json:"peer"`
	// Admin is the address on which the host listens for operators, or empty for
	// none.
	Admin string `json:"admin,omitempty"`
	// Store is the address of the platform's key-value store.
	Store string `json:"store"`
	// Seeds are the peer addresses of hosts to contact before the store lists
	// any.
	Seeds []string `json:"seeds,omitempty"`
	// FlowLifetime is the maximum duration of a flow. The default is 60 s.
	FlowLifetime conf.Duration `json:"flowLifetime,omitempty"`
	// Grace is the time that the process has to shut down after SIGTERM. The
	// default is 6 s.
	Grace conf.Duration `json:"grace,omitempty"`
	// WarmupOverage and WarmupSlack bound the requests that a cold server may get
	// in one second, from all hosts together: its rate times WarmupOverage, plus
	// WarmupSlack. The rate is set in the operators' document. The default of
	// WarmupOverage is 1, that of WarmupSlack 0.
	WarmupOverage float64 `json:"warmupOverage,omitempty"`
	WarmupSlack   float64 `json:"warmupSlack,omitempty"`
	// LinkMbps is the rate in Mbit/s of the link on which the host forwards packets.
	// While it is nearly full, new flows of routes whose flows carry much data wait.
	// The default is 0, which sets no limit.
	LinkMbps float64 `json:"linkMbps,omitempty"`
}

const (
	defaultFlowLifetime = 60 * time.Second
	defaultGrace        = 6 * time.Second
)

// check records the faults of the section in c.
func (m *Marked) check(c *checker) {
	c.checkAddress("marked.packets", m.Packets, true)
	c.checkAddress("marked.ready", m.Ready, true)
	c.checkAddress("marked.peer", m.Peer, true)
	c.checkAddress("marked.admin", m.Admin, false)
	c.checkAddress("marked.store", m.Store, true)
	for i, s := range m.Seeds {
		c.checkAddress(fmt.Sprintf("marked.seeds[%d]", i), s, true)
	}
	if m.FlowLifetime < 0 {
		c.addFault("marked.flowLifetime", "it must not be negative")
	}
	if m.WarmupOverage < 0 {
		c.addFault("marked.warmupOverage", "it must not be negative")
	}
	if m.WarmupSlack < 0 {
		c.addFault("marked.warmupSlack", "it must not be negative")
	}
	if m.LinkMbps < 0 {
		c.addFault("marked.linkMbps", "it must not be negative")
	}
	if m.Grace < 0 {
		c.addFault("marked.grace", "it must not be negative")
	}
}

// FlowLifetimeOrDefault returns FlowLifetime, or its default if it is not set.
func (m *Marked) FlowLifetimeOrDefault() time.Duration { return m.FlowLifetime.Or(defaultFlowLifetime) }

// GraceOrDefault returns Grace, or its default if it is not set.
func (m *Marked) GraceOrDefault() time.Duration { return m.Grace.Or(defaultGrace) }

// SeedAddresses returns the parsed seeds. It panics if one is invalid; the
// settings must have passed Check.
func (m *Marked) SeedAddresses() []netip.AddrPort {
	out := make([]netip.AddrPort, len(m.Seeds))
	for i, s := range m.Seeds {
		out[i] = netip.MustParseAddrPort(s)
	}
	return out
}
