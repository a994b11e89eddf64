//go:build review

package main

import (
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// catalogueRoute is the route of the catalogue, with the figures of the sheet.
var catalogueRoute = route{address: netip.MustParseAddrPort("198.18.0.2:8443"), service: "catalogue-press", kind: "download", timeout: 8 * time.Second, targetValue: 2 * time.Second}

// The zones of the deployment, with the numbers of servers of each.
var sixZones = []string{"sapporo", "yoichi", "hakodate", "asahikawa", "obihiro", "kushiro"}

const (
	entryServers     = 20
	catalogueServers = 4
	// crashedServers is the number of servers that crash, 0.139 of all.
	crashedServers = 20
	crashZone      = "obihiro"
	// slowPage is the work of a page request, at most that of the sheet.
	slowPage = 300 * time.Millisecond
	// build is the work of a catalogue build, one of the few long requests.
	build       = 3 * time.Second
	buildBudget = 8 * time.Second
)

// crashedNeighbours crashes the servers of one service in a zone, while those of
// another service in that zone work on long requests.
func crashedNeighbours(b *bed, trouble bool) (int, error) {
	b.putConfig(pageRoute, submitRoute, catalogueRoute)
	for _, z := range sixZones {
		if err := b.addServers(entryServers, pageRoute.service, z, 2); err != nil {
			return 0, err
		}
		if err := b.addServers(catalogueServers, catalogueRoute.service, z, 2); err != nil {
			return 0, err
		}
		if err := b.addHosts(1, z); err != nil {
			return 0, err
		}
	}
	if err := b.waitReady(); err != nil {
		return 0, err
	}
	pages, err := b.newRequester("sapporo", 1)
	if err != nil {
		return 0, err
	}
	defer pages.close()
	builds, err := b.newRequester("sapporo", 2)
	if err != nil {
		return 0, err
	}
	defer builds.close()
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { b.slowPages(pages, 200, stop) })
	// All hosts and servers have been running without disturbance for longer than
	// StabilityMs when the servers crash.
	time.Sleep(8 * time.Second)
	if trouble {
		time.AfterFunc(1200*time.Millisecond, func() {
			n := 0
			for _, s := range b.servers {
				if n < crashedServers && s.zone == crashZone && s.service == pageRoute.service {
					n++
					b.crash(s)
				}
			}
		})
	}
	broken := b.catalogueBuilds(builds, len(sixZones)*catalogueServers)
	close(stop)
	group.Wait()
	return broken, nil
}

// slowPages sends page requests, a flow each, until stop is closed.
func (b *bed) slowPages(r *requester, perSecond int, stop <-chan struct{}) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	counts := map[result]int{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for i := 0; ; i++ {
		select {
		case <-stop:
			group.Wait()
			b.record.line("page requests: %d sent, outcomes %v", i, counts)
			return
		case <-ticker.C:
		}
		group.Go(func() {
			f := r.newFlow(fmt.Sprintf("p%d", i), pageRoute.address)
			defer f.release()
			res := f.openFlow()
			if res == answered {
				res = f.request(f.name, 0, pageAnswer, slowPage, pageBudget)
				f.send(flagACK|flagFIN, f.sequence, f.ack, nil)
			}
			mu.Lock()
			counts[res]++
			mu.Unlock()
		})
	}
}

// catalogueBuilds sends n catalogue builds at the same time and returns how many
// of their flows were broken.
func (b *bed) catalogueBuilds(r *requester, n int) int {
	var broken, ok atomic.Int64
	var group sync.WaitGroup
	for i := range n {
		group.Go(func() {
			f := r.newFlow(fmt.Sprintf("c%d", i+1), catalogueRoute.address)
			defer f.release()
			res := f.openFlow()
			if res == answered {
				res = f.request(f.name, 0, 80_000, build, buildBudget)
			}
			if res == answered {
				ok.Add(1)
				return
			}
			if f.server == nil {
				b.record.line("build %s: %s", f.name, res)
				return
			}
			b.record.line("build %s at %s (%s): %s, reset by %q; the server ran it %d times and lives: %v", f.name, f.server.id, f.server.zone, res, f.resetBy, f.server.runCount(f.name), !f.server.hasCrashed())
			if f.broken() {
				broken.Add(1)
				b.record.line("FLOW: flow %s, open for %.1f s at server %s, which lives, got a reset of %s", f.name, time.Since(f.openedAt).Seconds(), f.server.id, f.resetBy)
			}
		})
	}
	group.Wait()
	b.record.line("builds: %d sent, %d answered, %d broken", n, ok.Load(), broken.Load())
	return int(broken.Load())
}
