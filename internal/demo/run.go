package demo

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"lagoonramp.org/lagoonramp/internal/fakes"
	"lagoonramp.org/lagoonramp/pkg/conf"
)

// Settings are the settings of a run.
type Settings struct {
	// Duration is how long load is generated.
	Duration time.Duration
	// Progress receives a line of text for each step of the run. It may be nil.
	Progress io.Writer
	// Log is the logger of the hosts. It may be nil.
	Log *zap.Logger
}

const (
	// inForceTimeout bounds the wait until an edit is in force on all hosts.
	inForceTimeout = 15 * time.Second
	// drainDelay is the time after which a draining server must not receive new
	// flows any more.
	drainDelay = 4 * time.Second
	// httpSlots is the number of requests that a server runs at a time.
	httpSlots            = 3
	shortRequestDuration = 5 * time.Millisecond
	longRequestDuration  = 250 * time.Millisecond
	// startTimeout bounds the wait until the hosts discover each other, and the
	// wait until they are ready.
	startTimeout   = 15 * time.Second
	mainDataCentre = "sapporo"
	mainHostCount  = 7
)

// scenario is the state of a run.
type scenario struct {
	settings  Settings
	startTime time.Time
	cluster   *Cluster
	callers   *Callers
	// entry and press are the sections of the two teams.
	entry       conf.Section
	press       conf.Section
	deskServers []*fakes.Server
	liveServers []*fakes.Server
	servers     []*fakes.Server
	// addresses holds the address of each service, and revisions the latest
	// revision of each team's section.
	addresses map[string]string
	revisions map[string]uint64
	editCount int
	report    Report
}

// Run runs the demo and returns its report. An error means that the scenario
// could not be completed, not that a guarantee was violated.
func Run(ctx context.Context, settings Settings) (*Report, error) {
	if settings.Progress == nil {
		settings.Progress = io.Discard
	}
	c, err := NewCluster(settings.Log, settings.Duration)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	s := &scenario{settings: settings, startTime: time.Now(), cluster: c, addresses: map[string]string{}, revisions: map[string]uint64{}}
	if err := s.start(); err != nil {
		return nil, err
	}
	if err := s.runSteps(ctx); err != nil {
		return nil, err
	}
	s.collectReport()
	return &s.report, nil
}

// progressf reports the progress of the run, with the elapsed time.
func (s *scenario) progressf(format string, args ...any) {
	fmt.Fprintf(s.settings.Progress, "%6.1f s  %s\n", time.Since(s.startTime).Seconds(), fmt.Sprintf(format, args...))
}

// start starts the servers and hosts, commits the first configuration and waits
// until the hosts are ready.
func (s *scenario) start() error {
	runs := fakes.NewRunCounter()
	s.callers = NewCallers(runs)
	newServer := func(int) *fakes.Server {
		return &fakes.Server{ShortDuration: shortRequestDuration, LongDuration: longRequestDuration, Runs: runs}
	}
	for _, v := range []struct {
		section  *conf.Section
		name     string
		protocol conf.Protocol
		count    int
		dest     *[]*fakes.Server
	}{
		{&s.entry, "entry-desk", conf.HTTP, 14, &s.deskServers},
		{&s.entry, "entry-live", conf.UDP, 6, &s.liveServers},
		{&s.press, "catalogue-press", conf.TCP, 4, nil},
		{&s.press, "catalogue-live", conf.UDP, 4, nil},
	} {
		entries, servers, err := StartServers(v.name, v.protocol, mainDataCentre, v.count, httpSlots, newServer)
		if err != nil {
			return err
		}
		if v.dest != nil {
			*v.dest = servers
		}
		s.servers = append(s.servers, servers...)
		address, err := s.cluster.FreeAddress()
		if err != nil {
			return err
		}
		s.addresses[v.name] = address
		v.section.Services = append(v.section.Services, conf.Service{Name: v.name, Address: address, Protocol: v.protocol, Servers: entries})
		serve := s.cluster.Fabric.ServeTCP
		if v.protocol == conf.UDP {
			serve = s.cluster.Fabric.ServeUDP
		}
		if err := serve(netip.MustParseAddrPort(address)); err != nil {
			return eris.Wrapf(err, "serve %s at the fabric", v.name)
		}
	}
	for i := range mainHostCount {
		if _, err := s.cluster.AddHost(fmt.Sprintf("%s-%d", mainDataCentre, i+1), mainDataCentre, true); err != nil {
			return err
		}
	}
	for _, dc := range []string{"yoichi", "hakodate"} {
		for i := range 3 {
			if _, err := s.cluster.AddHost(fmt.Sprintf("%s-%d", dc, i+1), dc, false); err != nil {
				return err
			}
		}
	}
	if !s.cluster.WaitMembers(mainDataCentre, mainHostCount, startTimeout) {
		return eris.New("timeout waiting for the hosts to discover each other")
	}
	s.progressf("%d hosts found each other; the screen is at http://%s/", len(s.cluster.Hosts()), s.cluster.Hosts()[0].Settings.Admin)
	if _, err := s.putAndWait("entry", s.entry); err != nil {
		return err
	}
	took, err := s.putAndWait("press", s.press)
	if err != nil {
		return err
	}
	if !s.cluster.WaitInRotation(mainHostCount, startTimeout) {
		return eris.New("timeout waiting for the hosts to become ready")
	}
	s.progressf("the first configuration is in force everywhere after %.2f s", took)
	return nil
}

// putAndWait commits a section and waits until it is in force on every host. It
// returns the seconds that the slowest host took, or -1 if it is not in force on
// all hosts within inForceTimeout.
func (s *scenario) putAndWait(team string, section conf.Section) (float64, error) {
	s.editCount++
	hosts := s.cluster.Hosts()
	response, err := PutSection(hosts[s.editCount%len(hosts)], team, fmt.Sprintf("demo-%d", s.editCount), s.revisions[team], section)
	if err != nil {
		return 0, err
	}
	s.revisions[team] = response.Commit.Revision
	took := s.cluster.WaitInForce(response.Commit.Revision, inForceTimeout)
	s.report.InForce = map[string]float64{}
	longest := 0.0
	for _, h := range hosts {
		d, ok := took[h.Host.Name()]
		if !ok {
			s.progressf("%s does not have revision %d in force", h.Host.Name(), response.Commit.Revision)
			return -1, nil
		}
		s.report.InForce[h.Host.Name()] = d.Seconds()
		longest = max(longest, d.Seconds())
	}
	return longest, nil
}

// runSteps generates load and carries out the scenario's steps meanwhile.
func (s *scenario) runSteps(ctx context.Context) error {
	loadCtx, stop := context.WithTimeout(ctx, s.settings.Duration)
	defer stop()
	c := s.callers
	c.StartDatagramFlows(loadCtx, 150, "entry-live", s.addresses["entry-live"])
	c.StartDatagramFlows(loadCtx, 100, "catalogue-live", s.addresses["catalogue-live"])
	c.StartConnections(loadCtx, 80, "catalogue-press", s.addresses["catalogue-press"])
	c.StartRequests(loadCtx, 60, "entry-desk", s.addresses["entry-desk"], 20*time.Millisecond)
	s.progressf("load has begun, for %v", s.settings.Duration)
	interval := s.settings.Duration / 8
	for _, step := range []func() error{s.edit, s.drainServer, s.join, s.leave, s.kill} {
		sleep(loadCtx, interval)
		if err := step(); err != nil {
			return err
		}
	}
	<-loadCtx.Done()
	c.Wait()
	return ctx.Err()
}

// edit changes the configuration and measures how long each host takes to adopt
// it.
func (s *scenario) edit() error {
	s.entry.Services[0].LongShare = 0.4
	took, err := s.putAndWait("entry", s.entry)
	s.report.InForceSeconds = took
	s.progressf("an operator's edit is in force everywhere after %.2f s", took)
	return err
}

// drainServer drains a server. Flows that it accepts in a quarter of the run's
// duration after drainDelay are counted as a violation.
func (s *scenario) drainServer() error {
	s.entry.Services[1].Servers[0].State = conf.Draining
	took, err := s.putAndWait("entry", s.entry)
	if err != nil {
		return err
	}
	drained := s.liveServers[0]
	s.progressf("%s drains, in force after %.2f s", drained.Name, took)
	time.AfterFunc(drainDelay, func() {
		before := drained.Handled()
		time.AfterFunc(s.settings.Duration/4, func() {
			s.callers.update(func(r *Report) { r.NewAfterDrain = drained.Handled() - before })
		})
	})
	return nil
}

// join starts another host.
func (s *scenario) join() error {
	h, err := s.cluster.AddHost(fmt.Sprintf("%s-%d", mainDataCentre, mainHostCount+1), mainDataCentre, true)
	if err != nil {
		return err
	}
	s.progressf("%s joins", h.Host.Name())
	return nil
}

// leave shuts a host down gracefully, in the background.
func (s *scenario) leave() error {
	h := s.cluster.Hosts()[1]
	s.progressf("%s leaves; it holds %d flows", h.Host.Name(), h.Host.PinnedFlows())
	go func() {
		s.cluster.Leave(h)
		s.progressf("%s has left", h.Host.Name())
	}()
	return nil
}

// kill stops a host as a crash would and begins the callers' crash phase.
func (s *scenario) kill() error {
	h := s.cluster.Hosts()[3]
	s.report.OpenAtKill = s.callers.BeginCrashPhase()
	s.progressf("%s is killed; it held %d flows", h.Host.Name(), h.Host.PinnedFlows())
	s.cluster.Kill(h)
	return nil
}

// collectReport completes the report with the counts of the callers and the
// servers, and stops the servers.
func (s *scenario) collectReport() {
	inForce, seconds, open := s.report.InForce, s.report.InForceSeconds, s.report.OpenAtKill
	s.report = s.callers.Report()
	s.report.InForce, s.report.InForceSeconds, s.report.OpenAtKill = inForce, seconds, open
	var counts []int
	for _, v := range s.deskServers {
		counts = append(counts, int(v.BusyTime()))
	}
	s.report.Imbalance = MaxOverMean(counts)
	for _, v := range s.servers {
		s.report.CrossService += v.Misdirected()
		v.Close()
	}
}
