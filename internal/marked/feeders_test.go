package marked

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/pkg/fleet"
	"lagoonramp.org/lagoonramp/pkg/mirror"
	"lagoonramp.org/lagoonramp/pkg/warmup"
)

// loadedPeers returns the peers of a host that has a snapshot of the store and the
// list of another host, and has heard from n others in each of two data centres. The
// document limits cold servers.
func loadedPeers(t *testing.T, n int) (*peers, *control) {
	t.Helper()
	p, c := newTestPeers(t, n)
	if _, err := c.replica.ApplyDelta(testNow, &mirror.Delta{Snapshot: true, Version: mirror.Version{Revision: 1}}); err != nil {
		t.Fatal(err)
	}
	p.membership.limitsCold = true
	p.retained.replies = 1
	return p, c
}

// TestHostFeedsAfterHoldDown checks from when on a host feeds cold servers, and that
// the ranking includes lost hosts until they are forgotten.
func TestHostFeedsAfterHoldDown(t *testing.T) {
	is := is.New(t)
	p, c := loadedPeers(t, 3)
	is.True(!p.feeders().Active)
	is.True(p.updateMembership(testNow, c))
	f := p.feeders()
	is.True(f.Active)
	is.Equal(f.From, testNow+warmup.HoldDown)
	is.Equal(len(f.Hosts), 4)
	is.True(slices.IsSorted(f.Hosts))
	later := testNow + 2*time.Minute
	p.updateMembership(later, c)
	is.Equal(len(p.feeders().Hosts), 4)
	is.Equal(p.feeders().From, f.From)
	p.host.clock.pauseCount.Add(1)
	is.True(p.needsMembershipUpdate())
	p.updateMembership(later, c)
	is.Equal(p.feeders().From, later+warmup.HoldDown)
}

// TestHostFeedsOnlyAfterItHasHeardFromAll guards against a host that has just
// started and feeds servers although others rank the hosts without it.
func TestHostFeedsOnlyAfterItHasHeardFromAll(t *testing.T) {
	for name, add := range map[string]func(*peers){
		"known from another host": func(p *peers) {
			p.addKnownHosts(testNow, []knownHost{{Address: "127.0.9.99:9", DataCentre: "a"}})
		},
		"a seed without a data centre": func(p *peers) {
			p.addKnownHosts(testNow, []knownHost{{Address: "127.0.9.99:9"}})
		},
		"recorded in the store": func(p *peers) { p.membership.recorded[99] = true },
		"no list of hosts yet":  func(p *peers) { p.retained.replies = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, c := loadedPeers(t, 3)
			add(p)
			p.updateMembership(testNow, c)
			is.True(!p.feeders().Active)
		})
	}
}

// TestHostsAreQueriedUntilOneReplies guards against a host that never feeds cold
// servers because the hosts that it queried after its start were not up yet.
func TestHostsAreQueriedUntilOneReplies(t *testing.T) {
	for _, limitsCold := range []bool{true, false} {
		t.Run(fmt.Sprint("limit ", limitsCold), func(t *testing.T) {
			is := is.New(t)
			p, c := loadedPeers(t, 10)
			c.trafficStarted, p.retained.replies, p.membership.limitsCold = true, 0, limitsCold
			for range maxRetainedQueries + 2 {
				p.queryRetainedState(testNow, c)
			}
			is.Equal(len(p.retained.queried), maxRetainedQueries)
			p.queryRetainedState(testNow+firstListInterval, c)
			is.Equal(len(p.retained.queried) == 1, limitsCold)
			p.retained.replies, p.retained.done = maxRetainedReplies, true // None of them is established.
			for range 3 {
				p.queryRetainedState(testNow+2*fullListInterval, c)
			}
			is.Equal(p.retained.done, !limitsCold)
		})
	}
}

// TestGreeting checks that a host greets a host that it has not heard from, that a
// greeting is answered, and that it has no other effect.
func TestGreeting(t *testing.T) {
	is := is.New(t)
	p, c := loadedPeers(t, 20)
	other, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	defer func() { _ = other.Close() }()
	address := other.LocalAddr().(*net.UDPAddr).AddrPort()
	receive := func() (d digest) {
		buf := make([]byte, maxDigestSize)
		is.NoErr(other.SetReadDeadline(time.Now().Add(10 * time.Second)))
		n, err := other.Read(buf)
		is.NoErr(err)
		is.NoErr(json.Unmarshal(buf[:n], &d))
		return d
	}
	p.addKnownHosts(testNow, []knownHost{{Address: address.String(), DataCentre: "a"}})
	p.greet(testNow, c)
	p.greet(testNow, c) // Too early for the next one.
	is.Equal(receive().Greeting, greetingRequest)
	d := &digest{From: "h99", DataCentre: "a", Address: address.String(), Greeting: greetingRequest, Instance: 9}
	p.handleDigest(testNow, d, c)
	is.Equal(receive().Greeting, greetingReply)
	from := p.byID[peerID(address)]
	is.True(from.heard)
	is.Equal(from.name, "") // The first other digest counts as that of a host that joins.
}

// TestListNamesVoters checks that a host that starts learns which hosts count in the
// majority, and that hosts that have just joined do not.
func TestListNamesVoters(t *testing.T) {
	is := is.New(t)
	p, c := loadedPeers(t, 3)
	var reply retainedStateReply
	p.membership.fillList(&reply)
	is.Equal(len(reply.Voters), 0) // It is not established.
	p.updateMembership(testNow, c)
	p.observeHost(testNow, netip.MustParseAddrPort("127.0.9.200:9"), "a", testNow)
	p.updateHostLists()
	p.updateMembership(testNow, c)
	p.membership.fillList(&reply)
	is.Equal(len(reply.Voters), 4)
	starting, c := loadedPeers(t, 4)
	starting.membership.addList(testNow, &reply)
	starting.updateMembership(testNow, c)
	is.Equal(len(starting.membership.Hosts()), 5)
	is.Equal(len(starting.membership.Voters()), 3) // Not the fourth, and not itself.
}

// TestListOfHostsWithoutLimit guards against lost hosts in the list that a host gets
// at its start where nothing depends on them: it would expect them to be alive.
func TestListOfHostsWithoutLimit(t *testing.T) {
	is := is.New(t)
	p, _ := loadedPeers(t, 3)
	later := testNow + initialRecordAge
	is.Equal(len(p.knownHosts(later)), 6)
	p.membership.limitsCold = false
	is.Equal(len(p.knownHosts(later)), 0)
}

// TestDigestsNameNewHostsFirst guards against hosts that become known to all others
// only after the hold-down, since digests name a few of hundreds of hosts.
func TestDigestsNameNewHostsFirst(t *testing.T) {
	is := is.New(t)
	p, c := loadedPeers(t, 60)
	later := testNow + time.Minute
	fresh := netip.MustParseAddrPort("127.0.9.200:9")
	p.observeHost(later, fresh, "a", later)
	p.updateHostLists()
	named := func(now time.Duration) string { return fmt.Sprint(p.newDigest(now, c, 1).KnownHosts[0].Address) }
	is.Equal(named(later), fresh.String())
}

func TestLimitsColdServers(t *testing.T) {
	is := is.New(t)
	is.True(!limitsColdServers(&fleet.View{Services: map[string]fleet.Service{"a": {WarmupDuration: time.Second}}}))
	is.True(limitsColdServers(&fleet.View{Services: map[string]fleet.Service{"a": {WarmupRate: 1}}}))
}
