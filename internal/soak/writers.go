package soak

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"lagoonramp.org/lagoonramp/platform/stub"
)

const (
	// stormVersions is the number of large documents that follow each other at
	// intervals of stormInterval, each with stormRoutes more routes. Together they
	// exceed what a host reads as one answer.
	stormVersions = 14
	stormInterval = 40 * time.Millisecond
	stormRoutes   = 3500
)

// writeStorm writes large documents in quick succession.
func (t *testbed) writeStorm(time.Duration) {
	routes := make([]stub.Route, 0, stormRoutes)
	for i := range stormRoutes {
		a := netip.AddrFrom4([4]byte{198, 19, byte(i >> 8), byte(i)})
		routes = append(routes, stub.Route{Address: netip.AddrPortFrom(a, 443), Service: "entry-desk"})
	}
	for range stormVersions {
		t.writeDocument(t.optionalRouteExists(), routes...)
		time.Sleep(stormInterval)
	}
	t.writeDocument(!t.optionalRouteExists())
}

// writeOddEntry writes an entry of another writer among those of the servers: one
// that cannot be read, or one about a server whose fields are spelled otherwise and
// that claims to have started later.
func (t *testbed) writeOddEntry(d time.Duration) {
	s := t.randomServer()
	odd := stub.OddEntries(s.Entry("ready"))
	names := slices.Sorted(maps.Keys(odd))
	key := fmt.Sprintf("servers/agent-%s", strings.TrimPrefix(s.ID, "i-"))
	t.Store.Put(key, odd[names[t.randomIntN(len(names))]])
	time.Sleep(d)
	if t.randomIntN(2) == 0 {
		t.Store.Delete(key)
	}
}
