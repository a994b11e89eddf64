//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"lagoonramp.org/lagoonramp/pkg/mark"
)

// collidingIDs returns two server IDs with the same mark, the smaller one first.
func collidingIDs() (low, high string) {
	seen := map[uint32]string{}
	for {
		id := fmt.Sprintf("i-%08x", rand.Uint32())
		other, ok := seen[mark.Of(id)]
		if ok && other != id {
			return min(id, other), max(id, other)
		}
		seen[mark.Of(id)] = id
	}
}

// markCollision replaces a server by one whose ID has the mark of a third server,
// and then restarts a host.
func markCollision(b *bed, trouble bool) (int, error) {
	low, high := collidingIDs()
	old, err := b.addServer(high, submitRoute.service, "sapporo", 3)
	if err != nil {
		return 0, err
	}
	b.record.line("servers %s and %s have the mark %08x", high, low, mark.Of(low))
	if err := startHCMFA(b); err != nil {
		return 0, err
	}
	r, err := b.newRequester("sapporo", 1)
	if err != nil {
		return 0, err
	}
	defer r.close()
	time.Sleep(time.Second)
	if _, err := b.addServer(low, submitRoute.service, "sapporo", 3); err != nil {
		return 0, err
	}
	for _, s := range b.servers {
		if s != old && s.id != low && s.zone == "sapporo" {
			time.AfterFunc(time.Second, func() { b.drain(s) })
			break
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		time.AfterFunc(5*time.Second, b.hosts[0].restart)
	}
	return sessions(b, r, 40, 4*time.Second, 14*time.Second), nil
}

// sessions opens flows that stay open and carry a submission every two seconds for
// a time, and returns how many were broken.
func sessions(b *bed, r *requester, perSecond int, opening, lasting time.Duration) int {
	var broken, answers atomic.Int64
	var group sync.WaitGroup
	n := perSecond * int(opening/time.Second)
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	for i := range n {
		<-ticker.C
		group.Go(func() {
			f := r.newFlow(fmt.Sprintf("f%d", i+1), submitRoute.address)
			defer f.release()
			if res := f.openFlow(); res != answered {
				b.record.line("flow %s: %s", f.name, res)
				return
			}
			for k := 1; time.Since(f.openedAt) < lasting; k++ {
				id := fmt.Sprintf("%s-%d", f.name, k)
				res := f.request(id, submitSize, submitAnswer, submitWork, submitBudget)
				if res == answered {
					answers.Add(1)
					if !f.pause(2 * time.Second) {
						continue
					}
				}
				b.record.line("flow %s: sent %s, %s; reset by %q; the flow's server %s (%s) ran it %d times", f.name, id, res, f.resetBy, f.server.id, f.server.zone, f.server.runCount(id))
				break
			}
			if f.broken() {
				broken.Add(1)
				b.record.line("FLOW: flow %s, open for %.1f s at server %s, which lives, got a reset of %s", f.name, time.Since(f.openedAt).Seconds(), f.server.id, f.resetBy)
			}
		})
	}
	group.Wait()
	b.record.line("flows: %d sent, %d submissions answered, %d flows broken", n, answers.Load(), broken.Load())
	return int(broken.Load())
}
