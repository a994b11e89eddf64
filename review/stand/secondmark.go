//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"regexp"
	"strconv"
	"sync"
	"syscall"
	"time"

	"lagoonramp.org/lagoonramp/pkg/mark"
	"lagoonramp.org/lagoonramp/platform/stub"
)

// These cases disturb one host of a data centre while callers keep flows open. Of
// some flows, one datagram was lost at the start: the first SYN-ACK of the server that
// the host chose.

const (
	// hostCount: one host of seven is less than the share 0.16 that the site file kills.
	hostCount    = 7
	sessionCount = 400
	// lossInterval: of so many flows, one loses its first SYN-ACK.
	lossInterval = 10
	openInterval = 2 * time.Millisecond
	// killPause is the time between the first and the second request of a flow, if a
	// host is killed: all second requests come while it is down and out of rotation.
	killPause = 4200 * time.Millisecond
	// minRollPause and maxRollPause are the bounds of the same time if hosts restart.
	minRollPause = 1500 * time.Millisecond
	maxRollPause = 8 * time.Second
	killDelay    = 1200 * time.Millisecond
	// downTime is that of the disruption node_kill in the site file.
	downTime = 3500 * time.Millisecond
	// rolledHosts of the hosts are a share of 0.43, and rollGap is the pause between
	// two of them. The site file has a share of 0.45 and 1.3 s.
	rolledHosts  = 3
	rollGap      = 1300 * time.Millisecond
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

func init() {
	cases["secondMark"] = func(r *record) (bool, error) {
		return runSecondMark(r, false, (*bed).killForAWhile, func() time.Duration { return killPause })
	}
	cases["rollingRestart"] = func(r *record) (bool, error) {
		return runSecondMark(r, true, (*bed).restartInTurn, func() time.Duration { return minRollPause + rand.N(maxRollPause-minRollPause) })
	}
}

// runSecondMark opens flows and sends a request on each before a disruption, and one
// after a pause. modulo selects the hash of the routers.
func runSecondMark(r *record, modulo bool, disrupt func(*bed) error, pause func() time.Duration) (bool, error) {
	b, err := newBed(r, 41)
	if err != nil {
		return false, err
	}
	defer b.close()
	b.Router.Modulo = modulo
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
		group.Go(func() { results[i], broken[i] = b.playSession(i, pause()) })
		time.Sleep(openInterval)
	}
	r.printf("%d flows are open, of %d of them the first SYN-ACK was lost", sessionCount, loss.dropped)
	if hasTrouble() {
		time.Sleep(killDelay)
		if err := disrupt(b); err != nil {
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
	r.printf("%d of %d flows broke: a server reset them that is not theirs, while theirs lived without disruption", count, sessionCount)
	return count > 0, nil
}

// killForAWhile kills a host and starts it again after downTime.
func (b *bed) killForAWhile() error {
	victim := b.hosts[1]
	victim.kill()
	b.record.printf("host %s is killed by SIGKILL", victim.name)
	time.Sleep(downTime)
	b.record.printf("host %s starts again", victim.name)
	return victim.start()
}

// restartInTurn stops hosts by SIGTERM, one after the other, and starts them again, as
// roll_term does.
func (b *bed) restartInTurn() error {
	for _, h := range b.hosts[:rolledHosts] {
		b.record.printf("host %s gets SIGTERM", h.name)
		if err := h.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return err
		}
		_ = h.cmd.Wait()
		b.record.printf("host %s has ended and starts again", h.name)
		if err := h.start(); err != nil {
			return err
		}
		time.Sleep(rollGap)
	}
	return nil
}

// playSession opens a flow, sends two requests with a pause between them, and reports
// how the flow ended, and whether another server than that of the flow reset it.
func (b *bed) playSession(i int, pause time.Duration) (text string, broken bool) {
	s, result := b.Caller.Open(feedRoute, 2*time.Second)
	if s == nil {
		return "not opened: " + result.String(), false
	}
	defer s.Close()
	first := s.Do(fmt.Sprintf("q%d-1", i), answerSize, requestWork, callDeadline)
	if first.Result != stub.Answered {
		return "first request: " + first.Result.String(), false
	}
	if !s.Wait(pause) {
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
