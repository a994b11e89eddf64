//go:build review

package main

import (
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// The routes of the cases, with the figures of the sites' sheets.
var (
	pageRoute   = route{address: netip.MustParseAddrPort("198.18.0.1:8443"), service: "entry-desk", kind: "safe", timeout: 1500 * time.Millisecond, targetValue: 250 * time.Millisecond}
	submitRoute = route{address: netip.MustParseAddrPort("198.18.0.1:8080"), service: "entry-desk", kind: "unsafe", timeout: 2000 * time.Millisecond, targetValue: 300 * time.Millisecond}
)

// Sizes, work and time budget of a submission, as on the sheet.
const (
	submitSize    = 900
	submitAnswer  = 600
	submitWork    = 61 * time.Millisecond
	submitBudget  = 2 * time.Second
	pageAnswer    = 4000
	pageWork      = 47 * time.Millisecond
	pageBudget    = 1500 * time.Millisecond
	pauseDuration = 12 * time.Second
)

// pausing describes flows that stay open: each carries a submission, pauses and
// carries another one.
type pausing struct {
	// perSecond and duration say how many flows are opened.
	perSecond int
	duration  time.Duration
	// loseEvery is the number of flows of which one loses the first SYN+ACK, or 0
	// if none does.
	loseEvery int
	pause     time.Duration
}

// run plays the flows and returns how many were broken.
func (s pausing) run(b *bed, r *requester) int {
	var broken, open, second atomic.Int64
	var group sync.WaitGroup
	n := s.perSecond * int(s.duration/time.Second)
	ticker := time.NewTicker(time.Second / time.Duration(s.perSecond))
	defer ticker.Stop()
	for i := range n {
		<-ticker.C
		group.Go(func() {
			f := r.newFlow(fmt.Sprintf("f%d", i+1), submitRoute.address)
			defer f.release()
			f.loseFirstReply = s.loseEvery > 0 && i%s.loseEvery == s.loseEvery-1
			if res := f.openFlow(); res != answered {
				b.record.line("flow %s: %s", f.name, res)
				return
			}
			first := f.request(f.name+"-1", submitSize, submitAnswer, submitWork, submitBudget)
			if first != answered {
				b.record.line("flow %s at %s: first request: %s", f.name, f.server.id, first)
				if f.broken() {
					broken.Add(1)
				}
				return
			}
			open.Add(1)
			if f.pause(s.pause) {
				b.record.line("flow %s at %s: reset in the pause by %s", f.name, f.server.id, f.resetBy)
			} else {
				res := f.request(f.name+"-2", submitSize, submitAnswer, submitWork, submitBudget)
				if f.lost && f.firstHost != f.lastHost {
					b.record.line("flow %s, whose first SYN+ACK was lost, came through %s and now comes through %s", f.name, f.firstHost, f.lastHost)
				}
				if res == answered {
					second.Add(1)
				} else {
					b.record.line("flow %s: sent %s, %s; reset by %q; the flow's server %s (%s) ran it %d times", f.name, f.name+"-2", res, f.resetBy, f.server.id, f.server.zone, f.server.runCount(f.name+"-2"))
				}
			}
			if f.broken() {
				broken.Add(1)
				b.record.line("FLOW: flow %s, open for %.1f s at server %s, which lives, got a reset of %s (SYN+ACKs of other servers: %d)", f.name, time.Since(f.openedAt).Seconds(), f.server.id, f.resetBy, f.otherAnswers)
			}
		})
	}
	group.Wait()
	b.record.line("flows: %d sent, %d with a first answer, %d with a second answer, %d broken", n, open.Load(), second.Load(), broken.Load())
	return int(broken.Load())
}

// pages sends page requests, a flow each, until stop is closed.
func (b *bed) pages(r *requester, perSecond int, stop <-chan struct{}) {
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
				res = f.request(f.name, 0, pageAnswer, pageWork, pageBudget)
				f.send(flagACK|flagFIN, f.sequence, f.ack, nil)
			}
			mu.Lock()
			counts[res]++
			mu.Unlock()
		})
	}
}

// startHCMFA starts the deployment of the site hcmfa-entries.
func startHCMFA(b *bed) error {
	b.putConfig(pageRoute, submitRoute)
	for _, z := range []struct {
		name           string
		servers, hosts int
	}{{"sapporo", 4, 2}, {"yoichi", 4, 2}, {"hakodate", 3, 2}, {"asahikawa", 3, 1}} {
		if err := b.addServers(z.servers, "entry-desk", z.name, 3); err != nil {
			return err
		}
		if err := b.addHosts(z.hosts, z.name); err != nil {
			return err
		}
	}
	return b.waitReady()
}

// loneHost restarts the only host of a zone while flows are open.
func loneHost(b *bed, trouble bool) (int, error) {
	if err := startHCMFA(b); err != nil {
		return 0, err
	}
	r, err := b.newRequester("asahikawa", 1)
	if err != nil {
		return 0, err
	}
	defer r.close()
	background, err := b.newRequester("asahikawa", 2)
	if err != nil {
		return 0, err
	}
	defer background.close()
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { b.pages(background, 60, stop) })
	time.Sleep(2 * time.Second)
	last := b.hosts[len(b.hosts)-1]
	if trouble {
		time.AfterFunc(6*time.Second, last.restart)
	}
	broken := pausing{perSecond: 30, duration: 5 * time.Second, loseEvery: 25, pause: pauseDuration}.run(b, r)
	close(stop)
	group.Wait()
	return broken, nil
}

const (
	// requesterLatency is that of the sheet: 3 ms to requesters.
	requesterLatency = 3 * time.Millisecond
	// restarts is how often the host is restarted, restartInterval apart.
	restarts        = 4
	restartInterval = 6 * time.Second
)

// loneReturn restarts the only host of a zone a few times. No datagram is lost.
func loneReturn(b *bed, trouble bool) (int, error) {
	b.latency = requesterLatency
	if err := startHCMFA(b); err != nil {
		return 0, err
	}
	r, err := b.newRequester("asahikawa", 1)
	if err != nil {
		return 0, err
	}
	defer r.close()
	time.Sleep(2 * time.Second)
	last := b.hosts[len(b.hosts)-1]
	if trouble {
		for i := range restarts {
			time.AfterFunc(time.Second+time.Duration(i)*restartInterval, last.restart)
		}
	}
	return pausing{perSecond: 150, duration: restarts * restartInterval, pause: pauseDuration}.run(b, r), nil
}
