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
	openInterval = time.Millisecond
	// idleTime is the time from the last first request to the disruption.
	idleTime = 1200 * time.Millisecond
	// downTime is that of the disruption node_kill in the site file.
	downTime = 3500 * time.Millisecond
	// rolledHosts of seven hosts are a share of 0.43, and rollGap is the pause between
	// two of them. The site file has a share of 0.45 and 1.3 s.
	rolledHosts = 3
	rollGap     = 1300 * time.Millisecond
	// joiningHosts is the number of spare hosts of a zone of the site file.
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

// scenario is a disruption of hosts while callers keep flows open.
type scenario struct {
	// hosts and sessions are the numbers of hosts and of flows. One flow in
	// lossInterval loses a datagram.
	hosts, sessions, lossInterval int
	// modulo selects the hash of the routers.
	modulo  bool
	disrupt func(*bed) error
	// Second requests are sent at random times from resumeAfter to resumeBefore after
	// the beginning of the disruption.
	resumeAfter, resumeBefore time.Duration
}

func init() {
	// A zone of the site file has 27 hosts and 5 spare ones.
	join := scenario{
		hosts: 27, sessions: 2000, lossInterval: 6, disrupt: (*bed).joinHosts,
		resumeAfter: 800 * time.Millisecond, resumeBefore: 2500 * time.Millisecond,
	}
	// One host of seven is less than the share 0.16 that the site file kills. All second
	// requests come while it is down and out of rotation.
	kill := scenario{
		hosts: 7, sessions: 400, lossInterval: 10, disrupt: (*bed).killForAWhile,
		resumeAfter: 1800 * time.Millisecond, resumeBefore: 3 * time.Second,
	}
	roll := scenario{
		hosts: 7, sessions: 400, lossInterval: 10, modulo: true, disrupt: (*bed).restartInTurn,
		resumeAfter: 500 * time.Millisecond, resumeBefore: 6 * time.Second,
	}
	for name, s := range map[string]scenario{"join": join, "kill": kill, "rollingRestart": roll} {
		cases[name] = s.run
	}
}

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

// run opens flows and sends a request on each before the disruption, and one after it
// has begun.
func (c scenario) run(r *record) (bool, error) {
	b, err := newBed(r, 41)
	if err != nil {
		return false, err
	}
	defer b.close()
	b.Router.Modulo = c.modulo
	loss := &lossSelector{interval: c.lossInterval, seen: map[netip.AddrPort]bool{}}
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
	for n := 1; n <= c.hosts; n++ {
		if _, err := b.addHost(n, "sapporo", b.StoreAddress); err != nil {
			return false, err
		}
	}
	if err := b.awaitReady(); err != nil {
		return false, err
	}
	var group sync.WaitGroup
	results := make([]string, c.sessions)
	broken := make([]bool, c.sessions)
	disruption := make(chan struct{})
	for i := range c.sessions {
		group.Go(func() {
			results[i], broken[i] = b.playSession(i, disruption, c.resumeAfter+rand.N(c.resumeBefore-c.resumeAfter))
		})
		time.Sleep(openInterval)
	}
	time.Sleep(idleTime)
	r.printf("%d flows are open, of %d of them the first SYN-ACK was lost", c.sessions, loss.dropped)
	close(disruption)
	if hasTrouble() {
		if err := c.disrupt(b); err != nil {
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
	r.printf("%d of %d flows broke: a server reset them that is not theirs, while theirs lived without disruption", count, c.sessions)
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
// disruption is closed. It reports how the flow ended, and whether another server than
// that of the flow reset it.
func (b *bed) playSession(i int, disruption <-chan struct{}, delay time.Duration) (text string, broken bool) {
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
		case <-disruption:
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
