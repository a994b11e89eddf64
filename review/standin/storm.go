//go:build review

package main

import (
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// addedRoutes is the number of routes that the configuration grows by.
	addedRoutes = 1640
	// furtherRoutes is the number of routes that see no traffic, as on the sheet.
	furtherRoutes = 40
	// The storm is a change each stormGap for stormDuration.
	stormGap      = 60 * time.Millisecond
	stormDuration = 1500 * time.Millisecond
	// configApply is ConfigApplyMs of the site.
	configApply = 5 * time.Second
	// observed is the time for which requests are sent after that.
	observed = 10 * time.Second
)

// droppedRoute is the route that the last change of the storm removes.
var droppedRoute = route{address: netip.MustParseAddrPort("198.18.0.3:8080"), service: "regportal", kind: "unsafe", timeout: time.Second, targetValue: 150 * time.Millisecond}

// configStorm lets the configuration grow, change in quick succession and lose a
// route.
func configStorm(b *bed, trouble bool) (int, error) {
	check := route{address: netip.MustParseAddrPort("198.18.0.1:8443"), service: "regportal", kind: "safe", timeout: 2 * time.Second, targetValue: 500 * time.Millisecond}
	routes := []route{check, droppedRoute}
	b.putConfig(routes...)
	zones := []string{"se-east-a", "se-east-b", "se-east-c", "se-east-d"}
	for _, z := range zones {
		if err := b.addServers(4, "regportal", z, 2); err != nil {
			return 0, err
		}
		if err := b.addHosts(2, z); err != nil {
			return 0, err
		}
	}
	if err := b.waitReady(); err != nil {
		return 0, err
	}
	for i := range addedRoutes + furtherRoutes {
		a := netip.AddrFrom4([4]byte{198, 19, byte(i >> 8), byte(i)})
		routes = append(routes, route{address: netip.AddrPortFrom(a, 8443), service: "regportal", kind: "safe", timeout: 2 * time.Second, targetValue: 500 * time.Millisecond})
	}
	// All hosts have been running for longer than StabilityMs.
	time.Sleep(8 * time.Second)
	b.putConfig(routes...)
	time.Sleep(3 * time.Second)
	if trouble {
		ticker := time.NewTicker(stormGap)
		defer ticker.Stop()
		for range int(stormDuration / stormGap) {
			<-ticker.C
			routes[0].timeout += time.Millisecond
			b.putConfig(routes...)
		}
	}
	b.putConfig(append(routes[:1:1], routes[2:]...)...)
	dropped := time.Now()
	b.record.line("operator: version %d, without the route %s, is confirmed", b.version, droppedRoute.address)
	return b.useDropped(zones, dropped)
}

// useDropped sends requests on the dropped route from each zone, and returns how
// many ran that were sent later than configApply after the confirmation.
func (b *bed) useDropped(zones []string, dropped time.Time) (int, error) {
	var late, inTime, refusedLate, silent atomic.Int64
	var group sync.WaitGroup
	for i, z := range zones {
		r, err := b.newRequester(z, i+1)
		if err != nil {
			return 0, err
		}
		defer r.close()
		group.Go(func() {
			var flows sync.WaitGroup
			for k := 0; time.Since(dropped) < configApply+observed; k++ {
				flows.Go(func() {
					f := r.newFlow(fmt.Sprintf("%s-%d", z, k), droppedRoute.address)
					defer f.release()
					after := time.Since(dropped)
					res := f.openFlow()
					if res == answered {
						res = f.request(f.name, submitSize, submitAnswer, 25*time.Millisecond, time.Second)
					}
					ran := 0
					if f.server != nil {
						ran = f.server.runCount(f.name)
					}
					switch {
					case ran > 0 && after > configApply:
						late.Add(1)
						b.record.line("CONFIG: request %s, sent %.2f s after the confirmation, was run by %s: %s", f.name, after.Seconds(), f.server.id, res)
					case ran > 0:
						inTime.Add(1)
					case after > configApply && res == refused:
						refusedLate.Add(1)
					case after > configApply:
						silent.Add(1)
					}
				})
				time.Sleep(250 * time.Millisecond)
			}
			flows.Wait()
		})
	}
	group.Wait()
	b.record.line("requests on the dropped route: %d ran within the bound; sent after it: %d ran, %d refused, %d without an answer", inTime.Load(), late.Load(), refusedLate.Load(), silent.Load())
	return int(late.Load()), nil
}
