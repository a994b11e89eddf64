package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"lagoonramp.org/lagoonramp/internal/marked"
	"lagoonramp.org/lagoonramp/platform"
	"lagoonramp.org/lagoonramp/platform/stub"
)

const (
	// markedNetwork is the second byte of the addresses in 127.0.0.0/8.
	markedNetwork = 240
	markedHosts   = 4
	markedDesks   = 6
	markedPresses = 3
	markedCallers = 24
	// shortAnswer is up to how many bytes an answer counts as short.
	shortAnswer = 4000
	// markedDeadline is what callers give a request.
	markedDeadline = 5 * time.Second
	// storeAwayFor is how long the store is away.
	storeAwayFor = time.Second
	markedGrace  = 6 * time.Second
	// readyIn is within which hosts and changes are expected.
	readyIn = 15 * time.Second
)

var (
	markedDesk  = netip.MustParseAddrPort("198.18.0.1:443")
	markedPress = netip.MustParseAddrPort("198.18.0.2:443")
	markedLive  = netip.MustParseAddrPort("198.18.0.3:443")
)

// markedScene is a run of the demo on the path with marks.
type markedScene struct {
	*stub.Platform
	set     Settings
	began   time.Time
	callers *Callers
	hosts   []*markedHost
	servers []*stub.Server
	version int
	// answered counts each server's answers. The callers' lock guards it.
	answered map[string]int
}

// markedHost is a running host.
type markedHost struct {
	*marked.Host
	name       string
	soft, hard context.CancelFunc
	done       chan struct{}
}

// RunMarked runs the demo on the path of the users' platform: packets carry
// marks that name their servers, and servers answer callers directly. An error
// means that the demo itself could not be carried out.
func RunMarked(ctx context.Context, set Settings) (*Report, error) {
	if set.Progress == nil {
		set.Progress = io.Discard
	}
	if set.Log == nil {
		set.Log = zap.NewNop()
	}
	w, err := stub.StartPlatform(markedNetwork)
	if err != nil {
		return nil, err
	}
	s := &markedScene{Platform: w, set: set, began: time.Now(), callers: NewCallers(nil), answered: map[string]int{}}
	defer s.close()
	if err := s.start(); err != nil {
		return nil, err
	}
	if err := s.play(ctx); err != nil {
		return nil, err
	}
	r := s.callers.Report()
	_, forged := s.Ledger.RejectedPackets()
	r.WrongAnswers += forged
	r.Imbalance = s.imbalance()
	return &r, nil
}

// imbalance compares the entry-desk's servers that served from start to end.
func (s *markedScene) imbalance() float64 {
	var counts []int
	for _, v := range s.servers[1:markedDesks] { // The first one was drained.
		counts = append(counts, s.answered[v.ID])
	}
	return MaxOverMean(counts)
}

func (s *markedScene) say(format string, args ...any) {
	fmt.Fprintf(s.set.Progress, "%6.1f s  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

func (s *markedScene) close() {
	for _, h := range s.hosts {
		h.kill()
	}
	for _, v := range s.servers {
		v.Crash()
	}
	s.Close()
}

// start starts servers and hosts and waits until all hosts are ready.
func (s *markedScene) start() error {
	s.configure(stub.Route{Address: markedDesk, Service: "entry-desk"}, stub.Route{Address: markedPress, Service: "catalogue-press"})
	for range markedDesks {
		if err := s.addServer("entry-desk"); err != nil {
			return err
		}
	}
	for range markedPresses {
		if err := s.addServer("catalogue-press"); err != nil {
			return err
		}
	}
	for range markedHosts {
		if err := s.addHost(); err != nil {
			return err
		}
	}
	if !within(readyIn, func() bool { return s.Router.HostsInRotation() == markedHosts }) {
		return eris.New("the hosts are not ready")
	}
	s.say("%d hosts are ready", markedHosts)
	return nil
}

// configure writes the operators' document.
func (s *markedScene) configure(routes ...stub.Route) {
	s.version++
	s.PutDocument(s.version, routes...)
}

func (s *markedScene) addServer(service string) error {
	n := len(s.servers) + 1
	v := &stub.Server{ID: fmt.Sprintf("i-%010x", n), Service: service, DataCentre: mainCentre, Slots: httpSlots}
	if err := s.AddServer(v, s.ServerAddress(n)); err != nil {
		return err
	}
	s.servers = append(s.servers, v)
	return nil
}

// addHost starts a host and tells the routers of it.
func (s *markedScene) addHost() error {
	n := len(s.hosts) + 1
	at := s.HostAddresses(n)
	h := &markedHost{name: fmt.Sprintf("%s-%d", mainCentre, n), done: make(chan struct{})}
	var err error
	h.Host, err = marked.New(&marked.Settings{
		Name: h.name, DataCentre: mainCentre, PacketAddress: at.Packets, ReadinessAddress: at.Ready, PeerAddress: at.Peer, AdminAddress: at.Admin.String(),
		Seeds: []netip.AddrPort{s.HostAddresses(1).Peer}, FlowLifetime: time.Minute, ShutdownTimeout: markedGrace,
		DroppedLogLines: func() uint64 { return 0 }, Codec: platform.Codec{}, Store: platform.NewStore(s.StoreAddress),
		Decoder: platform.Decoder{}, ReadinessHandler: platform.ReadinessHandler,
	}, s.set.Log)
	if err != nil {
		return eris.Wrapf(err, "start the host %s", h.name)
	}
	var soft, hard context.Context
	soft, h.soft = context.WithCancel(context.Background())
	hard, h.hard = context.WithCancel(context.Background())
	go h.run(soft, hard)
	s.hosts = append(s.hosts, h)
	s.AddToRouters(h.name, at)
	return nil
}

func (h *markedHost) run(soft, hard context.Context) {
	defer close(h.done)
	_ = h.Run(soft, hard) // It returns no error but of its own shutdown.
}

// kill ends a host at once.
func (h *markedHost) kill() {
	h.hard()
	<-h.done
	h.soft()
}

// within waits until something holds, and reports whether it does.
func within(d time.Duration, holds func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// play makes load and lets things happen.
func (s *markedScene) play(ctx context.Context) error {
	load, stop := context.WithTimeout(ctx, s.set.Duration)
	defer stop()
	s.callers.spawn(load, markedCallers, func(context.Context) { s.request(markedDesk, "entry-desk") })
	s.callers.spawn(load, markedCallers/3, func(context.Context) { s.request(markedPress, "catalogue-press") })
	s.say("load has begun, for %v", s.set.Duration)
	acts := []func() error{s.edit, s.replaceServer, s.join, s.leave, s.loseStore, s.kill}
	step := s.set.Duration / time.Duration(len(acts)+2)
	for _, act := range acts {
		sleep(load, step)
		if err := act(); err != nil {
			return err
		}
	}
	<-load.Done()
	s.callers.Wait()
	return ctx.Err()
}

// request sends one request by a flow of its own and counts what came of it.
func (s *markedScene) request(route netip.AddrPort, service string) {
	id := fmt.Sprintf("q%d", s.callers.began())
	size := []int{200, shortAnswer, 80_000, 300_000}[rand.IntN(4)]
	o := s.Caller.Do(route, id, size, time.Duration(2+rand.IntN(8))*time.Millisecond, markedDeadline)
	ran := s.Ledger.RunCount(id)
	broken := ""
	s.callers.count(func(r *Report) {
		r.Requests++
		if ran > 1 {
			r.DoubledRegistrations++
		}
		switch o.Result {
		case stub.Answered:
			r.Answered++
			s.answered[o.Server]++
			if o.Service != service {
				r.CrossService++
			}
			h := s.callers.long
			if size <= shortAnswer {
				h = s.callers.short
			}
			_ = h.RecordValue(min(int64(o.Elapsed/(100*time.Microsecond)), maxMs*10))
		case stub.WrongAnswer:
			r.WrongAnswers++
		case stub.Broken, stub.TimedOut:
			r.Unknown++
			broken = fmt.Sprintf("%s of %s: %s", o.Result, service, o.Detail)
		default:
			r.NotRun++
			if ran > 0 {
				r.RanThoughNotRun++
			}
		}
	})
	s.callers.ended(broken)
}
