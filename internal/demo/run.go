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

// Settings of a run.
type Settings struct {
	// Duration is how long load is made.
	Duration time.Duration
	// Progress is told what happens; may be nil.
	Progress io.Writer
	Log      *zap.Logger
}

const (
	// inForceLimit is the longest wait for an edit.
	inForceLimit = 15 * time.Second
	// noNewAfter is within which a draining server gets no new flow any more.
	noNewAfter = 4 * time.Second
	httpSlots  = 3
	shortTime  = 5 * time.Millisecond
	longTime   = 250 * time.Millisecond
	membersIn  = 15 * time.Second
	mainCentre = "sapporo"
	mainHosts  = 7
)

// scene is the state of a run.
type scene struct {
	set      Settings
	began    time.Time
	world    *Cluster
	callers  *Callers
	entry    conf.Section
	press    conf.Section
	desk     []*fakes.Server
	live     []*fakes.Server
	all      []*fakes.Server
	address  map[string]string
	revision map[string]uint64
	edits    int
	report   Report
}

// Run runs the demo and returns its report. An error means that the demo
// itself could not be carried out.
func Run(ctx context.Context, set Settings) (*Report, error) {
	if set.Progress == nil {
		set.Progress = io.Discard
	}
	w, err := NewCluster(set.Log, set.Duration)
	if err != nil {
		return nil, err
	}
	defer w.Close()
	s := &scene{set: set, began: time.Now(), world: w, address: map[string]string{}, revision: map[string]uint64{}}
	if err := s.start(); err != nil {
		return nil, err
	}
	if err := s.play(ctx); err != nil {
		return nil, err
	}
	s.finish()
	return &s.report, nil
}

func (s *scene) say(format string, args ...any) {
	fmt.Fprintf(s.set.Progress, "%6.1f s  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// start starts the servers and hosts and puts the first configuration.
func (s *scene) start() error {
	runs := fakes.NewRunCounter()
	s.callers = NewCallers(runs)
	server := func(int) *fakes.Server {
		return &fakes.Server{ShortDuration: shortTime, LongDuration: longTime, Runs: runs}
	}
	for _, v := range []struct {
		section *conf.Section
		name    string
		proto   conf.Protocol
		count   int
		keep    *[]*fakes.Server
	}{
		{&s.entry, "entry-desk", conf.HTTP, 14, &s.desk},
		{&s.entry, "entry-live", conf.UDP, 6, &s.live},
		{&s.press, "catalogue-press", conf.TCP, 4, nil},
		{&s.press, "catalogue-live", conf.UDP, 4, nil},
	} {
		entries, servers, err := StartServers(v.name, v.proto, mainCentre, v.count, httpSlots, server)
		if err != nil {
			return err
		}
		if v.keep != nil {
			*v.keep = servers
		}
		s.all = append(s.all, servers...)
		address, err := s.world.FreeAddress()
		if err != nil {
			return err
		}
		s.address[v.name] = address
		v.section.Services = append(v.section.Services, conf.Service{Name: v.name, Address: address, Protocol: v.proto, Servers: entries})
		serve := s.world.Fabric.ServeTCP
		if v.proto == conf.UDP {
			serve = s.world.Fabric.ServeUDP
		}
		if err := serve(netip.MustParseAddrPort(address)); err != nil {
			return eris.Wrapf(err, "serve %s at the fabric", v.name)
		}
	}
	for i := range mainHosts {
		if _, err := s.world.AddHost(fmt.Sprintf("%s-%d", mainCentre, i+1), mainCentre, true); err != nil {
			return err
		}
	}
	for _, dc := range []string{"yoichi", "hakodate"} {
		for i := range 3 {
			if _, err := s.world.AddHost(fmt.Sprintf("%s-%d", dc, i+1), dc, false); err != nil {
				return err
			}
		}
	}
	if !s.world.WaitMembers(mainCentre, mainHosts, membersIn) {
		return eris.New("the hosts did not find each other")
	}
	s.say("%d hosts found each other; the screen is at http://%s/", len(s.world.Hosts()), s.world.Hosts()[0].Settings.Admin)
	if _, err := s.put("entry", s.entry); err != nil {
		return err
	}
	took, err := s.put("press", s.press)
	if err != nil {
		return err
	}
	if !s.world.WaitInRotation(mainHosts, membersIn) {
		return eris.New("the hosts are not ready")
	}
	s.say("the first configuration is in force everywhere after %.2f s", took)
	return nil
}

// put commits a section and waits until it is in force on every host. It
// returns the seconds that the last host took, -1 if one did not follow.
func (s *scene) put(team string, section conf.Section) (float64, error) {
	s.edits++
	hosts := s.world.Hosts()
	answer, err := PutSection(hosts[s.edits%len(hosts)], team, fmt.Sprintf("demo-%d", s.edits), s.revision[team], section)
	if err != nil {
		return 0, err
	}
	s.revision[team] = answer.Commit.Revision
	took := s.world.WaitInForce(answer.Commit.Revision, inForceLimit)
	s.report.InForce = map[string]float64{}
	last := 0.0
	for _, n := range hosts {
		d, ok := took[n.Host.Name()]
		if !ok {
			s.say("%s does not have revision %d in force", n.Host.Name(), answer.Commit.Revision)
			return -1, nil
		}
		s.report.InForce[n.Host.Name()] = d.Seconds()
		last = max(last, d.Seconds())
	}
	return last, nil
}

// play makes load and lets things happen.
func (s *scene) play(ctx context.Context) error {
	load, stop := context.WithTimeout(ctx, s.set.Duration)
	defer stop()
	c := s.callers
	c.StartDatagramFlows(load, 150, "entry-live", s.address["entry-live"])
	c.StartDatagramFlows(load, 100, "catalogue-live", s.address["catalogue-live"])
	c.StartConnections(load, 80, "catalogue-press", s.address["catalogue-press"])
	c.StartRequests(load, 60, "entry-desk", s.address["entry-desk"], 20*time.Millisecond)
	s.say("load has begun, for %v", s.set.Duration)
	step := s.set.Duration / 8
	for _, act := range []func() error{s.edit, s.drainServer, s.join, s.leave, s.kill} {
		sleep(load, step)
		if err := act(); err != nil {
			return err
		}
	}
	<-load.Done()
	c.Wait()
	return ctx.Err()
}

func (s *scene) edit() error {
	s.entry.Services[0].LongShare = 0.4
	took, err := s.put("entry", s.entry)
	s.report.InForceSeconds = took
	s.say("an operator's edit is in force everywhere after %.2f s", took)
	return err
}

func (s *scene) drainServer() error {
	s.entry.Services[1].Servers[0].State = conf.Draining
	took, err := s.put("entry", s.entry)
	if err != nil {
		return err
	}
	drained := s.live[0]
	s.say("%s drains, in force after %.2f s", drained.Name, took)
	time.AfterFunc(noNewAfter, func() {
		before := drained.Handled()
		time.AfterFunc(s.set.Duration/4, func() {
			s.callers.count(func(r *Report) { r.NewAfterDrain = drained.Handled() - before })
		})
	})
	return nil
}

func (s *scene) join() error {
	n, err := s.world.AddHost(fmt.Sprintf("%s-%d", mainCentre, mainHosts+1), mainCentre, true)
	if err != nil {
		return err
	}
	s.say("%s joins", n.Host.Name())
	return nil
}

func (s *scene) leave() error {
	n := s.world.Hosts()[1]
	s.say("%s leaves; it holds %d flows", n.Host.Name(), n.Host.PinnedFlows())
	go func() {
		s.world.Leave(n)
		s.say("%s has left", n.Host.Name())
	}()
	return nil
}

func (s *scene) kill() error {
	n := s.world.Hosts()[3]
	s.report.OpenAtKill = s.callers.BeginCrashPhase()
	s.say("%s is killed; it held %d flows", n.Host.Name(), n.Host.PinnedFlows())
	s.world.Kill(n)
	return nil
}

// finish collects the report.
func (s *scene) finish() {
	inForce, seconds, open := s.report.InForce, s.report.InForceSeconds, s.report.OpenAtKill
	s.report = s.callers.Report()
	s.report.InForce, s.report.InForceSeconds, s.report.OpenAtKill = inForce, seconds, open
	var counts []int
	for _, v := range s.desk {
		counts = append(counts, int(v.BusyTime()))
	}
	s.report.Imbalance = MaxOverMean(counts)
	for _, v := range s.all {
		s.report.CrossService += v.Misdirected()
		v.Close()
	}
}
