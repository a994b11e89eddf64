package setup

import (
	"fmt"
	"net/netip"
	"time"

	"lagoonramp.org/lagoonramp/pkg/conf"
)

// Marked are the settings of a host whose flows carry marks, before servers
// that answer the callers directly. All addresses are IP:port.
type Marked struct {
	// Packets takes the callers' packets, UDP.
	Packets string `json:"packets"`
	// Ready takes the routers' readiness checks.
	Ready string `json:"ready"`
	// Peer takes what other hosts send, UDP and TCP.
	Peer string `json:"peer"`
	// Admin takes the requests of operators; empty for none.
	Admin string `json:"admin,omitempty"`
	// Store is the platform's key-value store.
	Store string `json:"store"`
	// Seeds are peer addresses of hosts to ask before the store names others.
	Seeds []string `json:"seeds,omitempty"`
	// FlowLifetime is how long a flow may last. The default is 60 s.
	FlowLifetime conf.Duration `json:"flowLifetime,omitempty"`
	// Grace is how long the process has after SIGTERM. The default is 6 s.
	Grace conf.Duration `json:"grace,omitempty"`
}

const (
	defaultFlowLifetime = 60 * time.Second
	defaultGrace        = 6 * time.Second
)

// check collects the faults of the section.
func (m *Marked) check(c *checker) {
	c.address("marked.packets", m.Packets, true)
	c.address("marked.ready", m.Ready, true)
	c.address("marked.peer", m.Peer, true)
	c.address("marked.admin", m.Admin, false)
	c.address("marked.store", m.Store, true)
	for i, s := range m.Seeds {
		c.address(fmt.Sprintf("marked.seeds[%d]", i), s, true)
	}
	if m.FlowLifetime < 0 {
		c.fault("marked.flowLifetime", "it must not be negative")
	}
	if m.Grace < 0 {
		c.fault("marked.grace", "it must not be negative")
	}
}

// FlowLifetimeOr returns the lifetime of flows or its default.
func (m *Marked) FlowLifetimeOrDefault() time.Duration { return m.FlowLifetime.Or(defaultFlowLifetime) }

// GraceOr returns the time for a shutdown or its default.
func (m *Marked) GraceOrDefault() time.Duration { return m.Grace.Or(defaultGrace) }

// SeedAddresses returns the seeds. The settings must have passed Check.
func (m *Marked) SeedAddresses() []netip.AddrPort {
	out := make([]netip.AddrPort, len(m.Seeds))
	for i, s := range m.Seeds {
		out[i] = netip.MustParseAddrPort(s)
	}
	return out
}
