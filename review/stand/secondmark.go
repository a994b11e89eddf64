//go:build review

package main

import (
	"fmt"
	"net/netip"
	"regexp"
	"strconv"
	"sync"
	"time"

	"lagoonramp.org/lagoonramp/pkg/mark"
	"lagoonramp.org/lagoonramp/platform/stub"
)

// This case kills one host of a data centre while callers keep flows open. Of some
// flows, one datagram was lost at the start: the first SYN-ACK of the server that the
// host chose.

const (
	// hostCount: one host of seven is less than the share 0.16 that the site file kills.
	hostCount    = 7
	sessionCount = 400
	// lossInterval: of so many flows, one loses its first SYN-ACK.
	lossInterval = 10
	openInterval = 2 * time.Millisecond
	// firstPause is the time between the first and the second request of a flow. All
	// second requests come while the killed host is down and out of rotation.
	firstPause = 4200 * time.Millisecond
	killDelay  = 1200 * time.Millisecond
	// downTime is that of the disruption node_kill in the site file.
	downTime     = 3500 * time.Millisecond
	requestWork  = 10 * time.Millisecond
	answerSize   = 2000
	callDeadline = 4 * time.Second
)

var feedRoute = netip.MustParseAddrPort("198.18.0.1:443")

// lossSelector drops the first SYN-ACK of every lossInterval-th flow.
type lossSelector struct {
	mu      sync.Mutex
	seen    map[netip.AddrPort]bool
	dropped int
}

func (l *lossSelector) drop(caller netip.AddrPort) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen[caller] {
		return false
	}
	l.seen[caller] = true
	if len(l.seen)%lossInterval != 0 {
		return false
	}
	l.dropped++
	return true
}

// resetMark finds the mark of a reset in the detail of an outcome.
var resetMark = regexp.MustCompile(`mark of the reset ([0-9a-f]{8})`)

func runSecondMark(r *record) (bool, error) {
	b, err := newBed(r, 41)
	if err != nil {
		return false, err
	}
	defer b.close()
	loss := &lossSelector{seen: map[netip.AddrPort]bool{}}
	for n := 1; n <= 8; n++ {
		s, err := b.addServer(n, "entry-desk", "sapporo", 3)
		if err != nil {
			return false, err
		}
		s.DropSYNACK = loss.drop
	}
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
	var group sync.WaitGroup
	results := make([]string, sessionCount)
	broken := make([]bool, sessionCount)
	for i := range sessionCount {
		group.Go(func() { results[i], broken[i] = b.playSession(i) })
		time.Sleep(openInterval)
	}
	r.printf("%d flows are open, of %d of them the first SYN-ACK was lost", sessionCount, loss.dropped)
	if hasTrouble() {
		time.Sleep(killDelay)
		victim := b.hosts[1]
		victim.kill()
		r.printf("host %s is killed by SIGKILL", victim.name)
		time.Sleep(downTime)
		if err := victim.start(); err != nil {
			return false, err
		}
		r.printf("host %s starts again", victim.name)
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
	r.printf("%d of %d flows broke: a server reset them that is not theirs, while theirs lived without disruption", count, sessionCount)
	return count > 0, nil
}

// playSession opens a flow, sends two requests with a pause between them, and reports
// how the flow ended, and whether another server than that of the flow reset it.
func (b *bed) playSession(i int) (text string, broken bool) {
	s, result := b.Caller.Open(feedRoute, 2*time.Second)
	if s == nil {
		return "not opened: " + result.String(), false
	}
	defer s.Close()
	first := s.Do(fmt.Sprintf("q%d-1", i), answerSize, requestWork, callDeadline)
	if first.Result != stub.Answered {
		return "first request: " + first.Result.String(), false
	}
	if !s.Wait(firstPause) {
		return "reset while idle", false
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
