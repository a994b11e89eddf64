//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// These cases disturb hosts while callers keep flows open. Of some flows, one datagram
// is lost at the start: the first SYN+ACK that the requester gets.

// feedRoute is the route of position-feed, with the figures of the site's sheet.
var feedRoute = route{
	address: netip.MustParseAddrPort("198.18.0.1:8443"), service: "tracking", kind: "safe", timeout: 3 * time.Second, targetValue: 500 * time.Millisecond,
}

const (
	zone        = "fi-south-vantaa"
	feedAnswer  = 2000
	feedWork    = 8 * time.Millisecond
	feedBudget  = 3 * time.Second
	zoneServers = 40
	serverSlots = 2
	// stability is StabilityMs of the site.
	stability = 5 * time.Second
	// minPause and maxPause are the bounds of the time between the two requests of a
	// flow. IdleTimeoutMs is 15 s.
	minPause = time.Second
	maxPause = 3 * time.Second
)

// traffic describes flows that stay open: each carries a request, pauses and carries
// another one.
type traffic struct {
	// perSecond and duration say how many flows are opened. One flow in loseEvery
	// loses the first SYN+ACK.
	perSecond int
	duration  time.Duration
	loseEvery int
}

// tally counts the flows by how they ended.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

func (t *tally) add(text string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[text]++
}

// run plays the flows and returns how many were broken.
func (t traffic) run(b *bed, r *requester) int {
	var broken atomic.Int64
	var group sync.WaitGroup
	ends := &tally{counts: map[string]int{}}
	n := int(float64(t.perSecond) * t.duration.Seconds())
	interval := time.Second / time.Duration(t.perSecond)
	start := time.Now()
	for i := range n {
		time.Sleep(time.Until(start.Add(time.Duration(i) * interval)))
		group.Go(func() {
			f := r.newFlow(fmt.Sprintf("f%d", i+1), feedRoute.address)
			defer f.release()
			f.loseFirstReply = i%t.loseEvery == t.loseEvery-1
			end := f.play()
			if f.lost && f.firstHost != f.lastHost {
				end += ", one SYN+ACK was lost, moved to another host"
			}
			ends.add(end)
			if how, isBroken := f.broken(); isBroken {
				broken.Add(1)
				b.record.line("FLOW: flow %s, open for %.1f s at server %s, which lives: %s; it came through %s first and through %s last",
					f.name, time.Since(f.openedAt).Seconds(), f.server.id, how, f.firstHost, f.lastHost)
			}
		})
	}
	group.Wait()
	for text, count := range ends.counts {
		b.record.line("%6d flows: %s", count, text)
	}
	b.record.line("%d of %d flows were broken", broken.Load(), n)
	return int(broken.Load())
}

// play opens the flow and sends two requests with a pause between them. It returns how
// the flow ended.
func (f *flow) play() string {
	if res := f.openFlow(); res != answered {
		return "opening: " + res.String()
	}
	if res := f.request(f.name+"-1", 0, feedAnswer, feedWork, feedBudget); res != answered {
		return "first request: " + res.String()
	}
	if f.pause(minPause + rand.N(maxPause-minPause)) {
		return "reset in the pause"
	}
	return "second request: " + f.request(f.name+"-2", 0, feedAnswer, feedWork, feedBudget).String()
}

// startZone starts the servers and hosts of a zone, and waits until all are in touch.
func startZone(b *bed, hosts int) (*requester, error) {
	b.putConfig(feedRoute)
	if err := b.addServers(zoneServers, feedRoute.service, zone, serverSlots); err != nil {
		return nil, err
	}
	if err := b.addHosts(hosts, zone); err != nil {
		return nil, err
	}
	if err := b.waitReady(); err != nil {
		return nil, err
	}
	time.Sleep(stability + time.Second)
	return b.newRequester(zone, 1)
}

const (
	// smallHosts is the number of hosts of a small deployment.
	smallHosts = 7
	// rolledHosts of seven hosts are a share of 0.43, and rollGap is the pause between
	// two of them. The site file has a share of 0.45 and 1.3 s.
	rolledHosts = 3
	rollGap     = 1300 * time.Millisecond
)

// kill kills one host for good while flows open, so that all other hosts are in touch.
func kill(b *bed, trouble bool) (int, error) {
	r, err := startZone(b, smallHosts)
	if err != nil {
		return 0, err
	}
	defer r.close()
	victim := b.hosts[1]
	if trouble {
		time.AfterFunc(1500*time.Millisecond, func() {
			b.record.line("disruption: %s is killed", victim.name)
			victim.signal(syscall.SIGKILL)
		})
	}
	return traffic{perSecond: 2000, duration: 3 * time.Second, loseEvery: 10}.run(b, r), nil
}

// rolling restarts hosts one after the other, behind routers that hash by mod, while
// flows open.
func rolling(b *bed, trouble bool) (int, error) {
	b.router.modulo = true
	r, err := startZone(b, smallHosts)
	if err != nil {
		return 0, err
	}
	defer r.close()
	if trouble {
		time.AfterFunc(1500*time.Millisecond, func() {
			for _, h := range b.hosts[:rolledHosts] {
				h.restart()
				time.Sleep(rollGap)
			}
		})
	}
	return traffic{perSecond: 500, duration: 10 * time.Second, loseEvery: 10}.run(b, r), nil
}
