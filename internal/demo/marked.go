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
	// markedNetworkOctet is the second octet of all addresses, which lie in
	// 127.0.0.0/8.
	markedNetworkOctet     = 240
	markedHostCount        = 4
	markedDeskServerCount  = 6
	markedPressServerCount = 3
	markedCallerCount      = 24
	// maxShortAnswerBytes is the largest answer whose latency counts as that of
	// a short request.
	maxShortAnswerBytes = 4000
	// markedRequestTimeout bounds the time that a request may take.
	markedRequestTimeout = 5 * time.Second
	// storeOutage is how long the store is unresponsive.
	storeOutage = time.Second
	// markedShutdownTimeout bounds the graceful shutdown of a host.
	markedShutdownTimeout = 6 * time.Second
	// markedWaitTimeout bounds the wait until the hosts are ready, and the wait
	// until an edit is in force.
	markedWaitTimeout = 15 * time.Second
)

var (
	markedDeskAddress  = netip.MustParseAddrPort("198.18.0.1:443")
	markedPressAddress = netip.MustParseAddrPort("198.18.0.2:443")
	markedLiveAddress  = netip.MustParseAddrPort("198.18.0.3:443")
)

// markedScenario is the state of a run on the path where packets carry marks.
type markedScenario struct {
	*stub.Platform
	settings        Settings
	startTime       time.Time
	callers         *Callers
	hosts           []*markedHost
	servers         []*stub.Server
	documentVersion int
	// answersByServer counts the answers of each server, by server ID. It is
	// guarded by the lock of callers.
	answersByServer map[string]int
}

// markedHost is a running host. Shutdown starts its graceful shutdown, and abort
// ends it at once.
type markedHost struct {
	*marked.Host
	name            string
	shutdown, abort context.CancelFunc
	done            chan struct{}
}

// RunMarked runs the demo on the external platform's packet path: packets carry
// marks that name their servers, and servers answer callers directly. An error
// means that the scenario could not be completed, not that a guarantee was
// violated.
func RunMarked(ctx context.Context, settings Settings) (*Report, error) {
	if settings.Progress == nil {
		settings.Progress = io.Discard
	}
	if settings.Log == nil {
		settings.Log = zap.NewNop()
	}
	p, err := stub.StartPlatform(markedNetworkOctet)
	if err != nil {
		return nil, err
	}
	s := &markedScenario{Platform: p, settings: settings, startTime: time.Now(), callers: NewCallers(nil), answersByServer: map[string]int{}}
	defer s.close()
	if err := s.start(); err != nil {
		return nil, err
	}
	if err := s.runSteps(ctx); err != nil {
		return nil, err
	}
	r := s.callers.Report()
	_, forged := s.Ledger.RejectedPackets()
	r.WrongAnswers += forged
	r.Imbalance = s.imbalance()
	return &r, nil
}

// imbalance returns the highest number of answers of an entry-desk server over
// the mean, for the servers that accept flows during the whole run.
func (s *markedScenario) imbalance() float64 {
	var counts []int
	for _, v := range s.servers[1:markedDeskServerCount] { // The first server is drained during the run.
		counts = append(counts, s.answersByServer[v.ID])
	}
	return MaxOverMean(counts)
}

// progressf reports the progress of the run, with the elapsed time.
func (s *markedScenario) progressf(format string, args ...any) {
	fmt.Fprintf(s.settings.Progress, "%6.1f s  %s\n", time.Since(s.startTime).Seconds(), fmt.Sprintf(format, args...))
}

// close stops all hosts and servers and the platform at once.
func (s *markedScenario) close() {
	for _, h := range s.hosts {
		h.kill()
	}
	for _, v := range s.servers {
		v.Crash()
	}
	s.Close()
}

// start starts the servers and hosts and waits until all hosts are ready.
func (s *markedScenario) start() error {
	s.putDocument(stub.Route{Address: markedDeskAddress, Service: "entry-desk"}, stub.Route{Address: markedPressAddress, Service: "catalogue-press"})
	for range markedDeskServerCount {
		if err := s.addServer("entry-desk"); err != nil {
			return err
		}
	}
	for range markedPressServerCount {
		if err := s.addServer("catalogue-press"); err != nil {
			return err
		}
	}
	for range markedHostCount {
		if err := s.addHost(); err != nil {
			return err
		}
	}
	if !waitFor(markedWaitTimeout, func() bool { return s.Router.HostsInRotation() == markedHostCount }) {
		return eris.New("timeout waiting for the hosts to become ready")
	}
	s.progressf("%d hosts are ready", markedHostCount)
	return nil
}

// putDocument writes a new version of the operators' document to the store.
func (s *markedScenario) putDocument(routes ...stub.Route) {
	s.documentVersion++
	s.PutDocument(s.documentVersion, routes...)
}

// addServer starts a server and registers it in the store.
func (s *markedScenario) addServer(service string) error {
	n := len(s.servers) + 1
	v := &stub.Server{ID: fmt.Sprintf("i-%010x", n), Service: service, DataCentre: mainDataCentre, Slots: httpSlots}
	if err := s.AddServer(v, s.ServerAddress(n)); err != nil {
		return err
	}
	s.servers = append(s.servers, v)
	return nil
}

// addHost starts a host and adds it to the routers.
func (s *markedScenario) addHost() error {
	n := len(s.hosts) + 1
	addresses := s.HostAddresses(n)
	h := &markedHost{name: fmt.Sprintf("%s-%d", mainDataCentre, n), done: make(chan struct{})}
	var err error
	h.Host, err = marked.New(&marked.Settings{
		Name: h.name, DataCentre: mainDataCentre, PacketAddress: addresses.Packets, ReadinessAddress: addresses.Ready, PeerAddress: addresses.Peer, AdminAddress: addresses.Admin.String(),
		Seeds: []netip.AddrPort{s.HostAddresses(1).Peer}, FlowLifetime: time.Minute, ShutdownTimeout: markedShutdownTimeout,
		DroppedLogLines: func() uint64 { return 0 }, Codec: platform.Codec{}, Store: platform.NewStore(s.StoreAddress),
		Decoder: platform.Decoder{}, ReadinessHandler: platform.ReadinessHandler,
	}, s.settings.Log)
	if err != nil {
		return eris.Wrapf(err, "start the host %s", h.name)
	}
	var shutdown, abort context.Context
	shutdown, h.shutdown = context.WithCancel(context.Background())
	abort, h.abort = context.WithCancel(context.Background())
	go h.run(shutdown, abort)
	s.hosts = append(s.hosts, h)
	s.AddToRouters(h.name, addresses)
	return nil
}

// run runs the host and closes done when it has stopped.
func (h *markedHost) run(shutdown, abort context.Context) {
	defer close(h.done)
	_ = h.Run(shutdown, abort) // Run returns only errors of the shutdown.
}

// kill stops the host at once, as a crash would, and waits for its end.
func (h *markedHost) kill() {
	h.abort()
	<-h.done
	h.shutdown()
}

// waitFor polls a condition until it holds, and reports whether it did before
// the timeout.
func waitFor(timeout time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// runSteps generates load and carries out the scenario's steps meanwhile.
func (s *markedScenario) runSteps(ctx context.Context) error {
	loadCtx, stop := context.WithTimeout(ctx, s.settings.Duration)
	defer stop()
	s.callers.spawn(loadCtx, markedCallerCount, func(context.Context) { s.request(markedDeskAddress, "entry-desk") })
	s.callers.spawn(loadCtx, markedCallerCount/3, func(context.Context) { s.request(markedPressAddress, "catalogue-press") })
	s.progressf("load has begun, for %v", s.settings.Duration)
	steps := []func() error{s.edit, s.replaceServer, s.join, s.leave, s.interruptStore, s.kill}
	interval := s.settings.Duration / time.Duration(len(steps)+2)
	for _, step := range steps {
		sleep(loadCtx, interval)
		if err := step(); err != nil {
			return err
		}
	}
	<-loadCtx.Done()
	s.callers.Wait()
	return ctx.Err()
}

// request sends one request on a flow of its own and counts the outcome.
func (s *markedScenario) request(route netip.AddrPort, service string) {
	id := fmt.Sprintf("q%d", s.callers.beginFlow())
	size := []int{200, maxShortAnswerBytes, 80_000, 300_000}[rand.IntN(4)]
	outcome := s.Caller.Do(route, id, size, time.Duration(2+rand.IntN(8))*time.Millisecond, markedRequestTimeout)
	runs := s.Ledger.RunCount(id)
	breakReason := ""
	s.callers.update(func(r *Report) {
		r.Requests++
		if runs > 1 {
			r.DoubledRegistrations++
		}
		switch outcome.Result {
		case stub.Answered:
			r.Answered++
			s.answersByServer[outcome.Server]++
			if outcome.Service != service {
				r.CrossService++
			}
			h := s.callers.longLatency
			if size <= maxShortAnswerBytes {
				h = s.callers.shortLatency
			}
			_ = h.RecordValue(min(int64(outcome.Elapsed/(100*time.Microsecond)), maxLatencyMs*10))
		case stub.WrongAnswer:
			r.WrongAnswers++
		case stub.Broken, stub.TimedOut:
			r.Unknown++
			breakReason = fmt.Sprintf("%s of %s: %s", outcome.Result, service, outcome.Detail)
		default:
			r.NotRun++
			if runs > 0 {
				r.RanThoughNotRun++
			}
		}
	})
	s.callers.endFlow(breakReason)
}
