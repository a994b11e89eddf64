//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"regexp"
	"strconv"
	"sync"
	"time"

	"lagoonramp.org/lagoonramp/pkg/mark"
	"lagoonramp.org/lagoonramp/platform/stub"
)

// This case adds hosts to a zone while callers keep flows open. Of some flows, one
// datagram was lost at the start: the first SYN-ACK of the server that the host chose.

const (
	openInterval = time.Millisecond
	// idleTime is the time from the opening of the last flow to the addition.
	idleTime = 1200 * time.Millisecond
	// sessions is the number of flows, of which one in lossInterval loses a datagram.
	sessions     = 2000
	lossInterval = 6
	// resumeAfter and resumeBefore bound the time from the addition of the hosts to the
	// second request of a flow.
	resumeAfter  = 800 * time.Millisecond
	resumeBefore = 2500 * time.Millisecond
	// siteHosts and joiningHosts are the numbers of machines and of spare ones of a zone
	// of the site file.
	siteHosts    = 27
	joiningHosts = 5
	idleStep     = 20 * time.Millisecond
	requestWork  = 10 * time.Millisecond
	answerSize   = 2000
	callDeadline = 3 * time.Second
	// warmupDuration is that of the site file, and warmupRate the number of requests a
	// second that a cold server bears.
	warmupDuration = 2 * time.Second
	warmupRate     = 30
)

var feedRoute = netip.MustParseAddrPort("198.18.0.1:443")

// lossSelector drops the first SYN-ACK of one in so many flows.
type lossSelector struct {
	interval int
	mu       sync.Mutex
	seen     map[netip.AddrPort]bool
	dropped  int
}

func (l *lossSelector) drop(caller netip.AddrPort) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen[caller] {
		return false
	}
	l.seen[caller] = true
	if len(l.seen)%l.interval != 0 {
		return false
	}
	l.dropped++
	return true
}

// resetMark finds the mark of a reset in the detail of an outcome.
var resetMark = regexp.MustCompile(`mark of the reset ([0-9a-f]{8})`)

func init() { cases["join"] = runJoin }

// runJoin opens flows and sends a request on each before hosts are added, and one after
// that.
func runJoin(r *record) (bool, error) {
	b, err := newBed(r, 41)
	if err != nil {
		return false, err
	}
	defer b.close()
	loss := &lossSelector{interval: lossInterval, seen: map[netip.AddrPort]bool{}}
	for n := 1; n <= 8; n++ {
		s, err := b.addServer(n, "entry-desk", "sapporo", 3)
		if err != nil {
			return false, err
		}
		s.DropSYNACK = loss.drop
	}
	b.PutDocument(1, stub.Route{
		Name: "feed", Address: feedRoute, Service: "entry-desk", Kind: "safe", Priority: 2, Timeout: 3 * time.Second, Objective: 500 * time.Millisecond, Warmup: warmupDuration, WarmupRate: warmupRate,
	})
	for n := 1; n <= siteHosts; n++ {
		if _, err := b.addHost(n, "sapporo", b.StoreAddress); err != nil {
			return false, err
		}
	}
	if err := b.awaitReady(); err != nil {
		return false, err
	}
	var group sync.WaitGroup
	results := make([]string, sessions)
	broken := make([]bool, sessions)
	added := make(chan struct{})
	for i := range sessions {
		group.Go(func() {
			results[i], broken[i] = b.playSession(i, added, resumeAfter+rand.N(resumeBefore-resumeAfter))
		})
		time.Sleep(openInterval)
	}
	time.Sleep(idleTime)
	r.printf("%d flows are open, of %d of them the first SYN-ACK was lost", sessions, loss.dropped)
	close(added)
	if hasTrouble() {
		if err := b.joinHosts(); err != nil {
			return false, err
		}
	}
	group.Wait()
	counts := map[string]int{}
	count := 0
	for i, text := range results {
		counts[text]++
		if broken[i] {
			count++
		}
	}
	for text, n := range counts {
		r.printf("%4d flows: %s", n, text)
	}
	r.printf("%d of %d flows broke: a server reset them that is not theirs, while theirs lived without disruption", count, sessions)
	return count > 0, nil
}

// joinHosts adds hosts, as add_nodes does.
func (b *bed) joinHosts() error {
	first := len(b.hosts) + 1
	for n := first; n < first+joiningHosts; n++ {
		if _, err := b.addHost(n, "sapporo", b.StoreAddress); err != nil {
			return err
		}
	}
	b.record.printf("%d hosts are added", joiningHosts)
	return nil
}

// playSession opens a flow and sends two requests, the second one some time after
// added is closed. It reports how the flow ended, and whether another server than
// that of the flow reset it.
func (b *bed) playSession(i int, added <-chan struct{}, delay time.Duration) (text string, broken bool) {
	s, result := b.Caller.Open(feedRoute, 2*time.Second)
	if s == nil {
		return "not opened: " + result.String(), false
	}
	defer s.Close()
	first := s.Do(fmt.Sprintf("q%d-1", i), answerSize, requestWork, callDeadline)
	if first.Result != stub.Answered {
		return "first request: " + first.Result.String(), false
	}
	for waiting := true; waiting; {
		select {
		case <-added:
			waiting = false
		default:
		}
		step := idleStep
		if !waiting {
			step = delay
		}
		if !s.Wait(step) {
			return "reset while idle", false
		}
	}
	second := s.Do(fmt.Sprintf("q%d-2", i), answerSize, requestWork, callDeadline)
	if second.Result != stub.Broken {
		return "second request: " + second.Result.String(), false
	}
	own := mark.Of(first.Server)
	found := resetMark.FindStringSubmatch(second.Detail)
	if found == nil {
		return "second request: reset of unknown origin", false
	}
	if m, _ := strconv.ParseUint(found[1], 16, 32); uint32(m) != own {
		b.record.printf("flow %d, open at server %s (mark %08x): %s", i, first.Server, own, second.Detail)
		return "second request: reset by another server", true
	}
	return "second request: reset by its server", false
}
