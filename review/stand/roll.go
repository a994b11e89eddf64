//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"lagoonramp.org/lagoonramp/pkg/mark"
	"lagoonramp.org/lagoonramp/platform/stub"
)

func init() { cases["roll"] = runRoll }

// sessionStats counts what callers see on flows that stay open.
type sessionStats struct {
	mu     sync.Mutex
	counts map[string]int
	broken int
}

func (s *sessionStats) add(text string, broken bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[text]++
	if broken {
		s.broken++
	}
}

// keepSession opens a flow and sends requests on it with pauses until stop, or until
// its lifetime ends.
func (b *bed) keepSession(name string, route netip.AddrPort, stats *sessionStats, stop *atomic.Bool) {
	s, result := b.Caller.Open(route, 2*time.Second)
	if s == nil {
		stats.add("not opened: "+result.String(), false)
		return
	}
	defer s.Close()
	opened := time.Now()
	server := ""
	for n := 0; !stop.Load() && time.Since(opened) < 30*time.Second; n++ {
		o := s.Do(fmt.Sprintf("%s-%d", name, n), answerSize, requestWork, callDeadline)
		switch {
		case o.Result == stub.Answered:
			if server != "" && server != o.Server {
				b.record.printf("flow %s: answered by %s, before by %s", name, o.Server, server)
				stats.add("answered by another server", true)
				return
			}
			server = o.Server
		case o.Result == stub.Broken:
			found := resetMark.FindStringSubmatch(o.Detail)
			m, _ := strconv.ParseUint(found[1], 16, 32)
			if server != "" && uint32(m) != mark.Of(server) {
				b.record.printf("flow %s, open at server %s (mark %08x): %s", name, server, mark.Of(server), o.Detail)
				stats.add("reset by another server", true)
				return
			}
			stats.add("reset by its server, or before its first answer", false)
			return
		default:
			stats.add("request: "+o.Result.String(), false)
			return
		}
		if !s.Wait(time.Duration(500+rand.IntN(4000)) * time.Millisecond) {
			stats.add("reset while idle", server != "")
			return
		}
	}
	stats.add("ended well", false)
}

func runRoll(r *record) (bool, error) {
	b, err := newBed(r, 42)
	if err != nil {
		return false, err
	}
	defer b.close()
	b.Router.Modulo = os.Getenv("MODULO") != ""
	for n := 1; n <= 8; n++ {
		s, err := b.addServer(n, "entry-desk", "sapporo", 3)
		if err != nil {
			return false, err
		}
		s.DropSYNACK = func(netip.AddrPort) bool { return rand.Float64() < 0.05 }
	}
	b.Router.DropPacket = func() bool { return rand.Float64() < 0.005 }
	b.PutDocument(1, stub.Route{
		Name: "feed", Address: feedRoute, Service: "entry-desk", Kind: "safe", Priority: 2, Timeout: 4 * time.Second, Objective: 250 * time.Millisecond,
	})
	for n := 1; n <= hostCount; n++ {
		if _, err := b.addHost(n, "sapporo", b.StoreAddress); err != nil {
			return false, err
		}
	}
	if err := b.awaitReady(); err != nil {
		return false, err
	}
	stats := &sessionStats{counts: map[string]int{}}
	var stop atomic.Bool
	var group sync.WaitGroup
	for i := range 500 {
		group.Go(func() {
			time.Sleep(time.Duration(rand.IntN(2000)) * time.Millisecond)
			for n := 0; !stop.Load(); n++ {
				b.keepSession(fmt.Sprintf("c%d-%d", i, n), feedRoute, stats, &stop)
			}
		})
	}
	time.Sleep(4 * time.Second)
	if hasTrouble() {
		for range 3 {
			for _, h := range b.hosts {
				r.printf("SIGTERM to %s", h.name)
				_ = h.cmd.Process.Signal(syscall.SIGTERM)
				_ = h.cmd.Wait()
				if err := h.start(); err != nil {
					return false, err
				}
				time.Sleep(1300 * time.Millisecond)
			}
		}
	} else {
		time.Sleep(60 * time.Second)
	}
	stop.Store(true)
	group.Wait()
	for text, n := range stats.counts {
		r.printf("%5d flows: %s", n, text)
	}
	return stats.broken > 0, nil
}
