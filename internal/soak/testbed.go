package soak

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"lagoonramp.org/lagoonramp/internal/setup"
	"lagoonramp.org/lagoonramp/platform/stub"
)

// Settings configures a soak run.
type Settings struct {
	// Program is the path of the lagoonramp executable.
	Program string
	// Seed is the seed of the random choices. Runs with the same seed can differ,
	// since the choices also depend on the timing of a run.
	Seed uint64
	// Duration is the time during which faults are started.
	Duration time.Duration
	// Hosts, Servers and Callers are the numbers of each.
	Hosts, Servers, Callers int
	// Faults are the names of the faults to inject; if it is empty, all are.
	Faults []string
	// Log receives a line for each fault and each finding.
	Log io.Writer
}

const (
	// localDataCentre is the data centre of the callers.
	localDataCentre  = "sapporo"
	remoteDataCentre = "yoichi"
	// loneHostSeeds: in one of so many seeds, only one host is in the callers' data
	// centre.
	loneHostSeeds = 3
	// limitSeeds: in one of so many seeds, the document sets no limit on cold
	// servers.
	limitSeeds = 4
	// warmupDuration is the time for which a server is cold after its start, and
	// coldSlowdown the factor on its processing time meanwhile.
	warmupDuration = 2 * time.Second
	coldSlowdown   = 1.6
	// warmupRate is the number of requests per second that a cold server takes, if
	// there is a limit: less than it gets without one. In any second a cold server
	// may get warmupRate times warmupOverage and warmupSlack.
	warmupRate    = 8
	warmupOverage = 1.5
	warmupSlack   = 5
	// initialWarmup is the time after the start of the soak at which hosts take the
	// first servers as warm, whose entries they may have read 0.5 s late.
	initialWarmup = warmupDuration + 500*time.Millisecond
)

// dataCentres are those of the servers.
var dataCentres = []string{localDataCentre, remoteDataCentre, "otaru"}

var (
	entryDeskAddress      = netip.MustParseAddrPort("198.18.0.1:443")
	cataloguePressAddress = netip.MustParseAddrPort("198.18.0.2:443")
	optionalAddress       = netip.MustParseAddrPort("198.18.0.3:443")
	serviceOf             = map[netip.AddrPort]string{entryDeskAddress: "entry-desk", cataloguePressAddress: "catalogue-press", optionalAddress: "entry-desk"}
)

// testbed holds the simulated platform, the host processes and the findings of a
// soak run.
type testbed struct {
	*stub.Platform
	settings Settings
	// rng draws the choices of faults. It is guarded by mu.
	rng *rand.Rand
	// networkRand draws which datagrams are lost, and pausing is the caller that
	// loses them. bursting is the caller that sends bursts.
	networkRand       *rand.Rand
	pausing, bursting *stub.Caller
	burstCount        atomic.Int64
	dir               string
	hosts             []*hostProcess
	startedAt         time.Time
	stopped           atomic.Bool

	mu             sync.Mutex
	servers        map[string]*testServer
	serversCreated int
	// departed lists the keys of removed servers.
	departed []string
	// documentVersion is the version of the latest document, documentRoutes are its
	// routes, and hasOptionalRoute reports whether it has the route of
	// optionalAddress.
	documentVersion        int
	documentRoutes         []stub.Route
	hasOptionalRoute       bool
	optionalRouteChangedAt time.Time
	// activeFaults is the number of active unplanned faults, and lastFaultChange
	// is the time at which one last started or ended. contactFaults counts those
	// with which hosts may be out of touch with the store.
	lastFaultChange, lastContactChange time.Time
	activeFaults, contactFaults        int
	tracker
	// lastServerLoss is the time at which a server was last removed, or the time
	// at which the latest unresponsive server answers again.
	lastServerLoss time.Time
	// lastHostLoss is the time at which a host was last killed or continued after a
	// pause.
	lastHostLoss time.Time
	findings     []string
	recorded     map[string]bool
	resultCounts map[stub.Result]int
	requestCount atomic.Int64
	// restartMu is held while a host is down or paused, so that only one is at a
	// time.
	restartMu sync.Mutex
}

// testServer is a simulated server with its address and drain state.
type testServer struct {
	*stub.Server
	address string
	// leavingAt is the time at which the store listed the server as draining, or
	// zero. drain is nil until then.
	leavingAt time.Time
	drain     *order
}

// hostProcess is the process of a host and its proxy to the store.
type hostProcess struct {
	name         string
	settingsPath string
	proxy        *proxy
	admin        string
	mu           sync.Mutex
	cmd          *exec.Cmd
	// starts counts the starts of the process. lastVersion is the last document
	// version seen in force since the latest start.
	starts      int
	lastVersion uint64
}

// newTestbed starts a platform, the servers and the hosts.
func newTestbed(settings Settings) (*testbed, error) {
	t := &testbed{
		settings: settings, rng: rand.New(rand.NewPCG(settings.Seed, 1)), networkRand: rand.New(rand.NewPCG(settings.Seed, 3)), startedAt: time.Now(),
		servers: map[string]*testServer{}, resultCounts: map[stub.Result]int{}, recorded: map[string]bool{}, tracker: newTracker(),
	}
	var err error
	if t.dir, err = os.MkdirTemp("", "soak"); err != nil {
		return nil, eris.Wrap(err, "create the log directory")
	}
	if t.Platform, err = stub.StartPlatform(byte(20 + settings.Seed%200)); err != nil {
		return nil, err
	}
	if err := t.startCallers(); err != nil {
		return nil, err
	}
	t.Ledger.OnSYN(t.checkNewFlow)
	t.writeDocument(false)
	for i := range settings.Servers {
		service := "entry-desk"
		if i%4 == 3 {
			service = "catalogue-press"
		}
		if err := t.addServer(service, dataCentres[i%len(dataCentres)], ""); err != nil {
			return nil, err
		}
	}
	for i := range settings.Hosts {
		if err := t.addHost(i + 1); err != nil {
			return nil, err
		}
	}
	return t, nil
}

// addServer starts a server and registers it. If address is empty, the server
// gets an address that no server has used.
func (t *testbed) addServer(service, dataCentre, address string) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.serversCreated++
	if address == "" {
		address = t.ServerAddress(t.serversCreated)
	}
	s := &testServer{address: address, Server: &stub.Server{
		ID: fmt.Sprintf("i-%02x%06x", t.settings.Seed%256, t.serversCreated), Service: service, DataCentre: dataCentre, Slots: 3, DropSYNACK: t.losesSYNACK,
		Warmup: warmupDuration, ColdSlowdown: coldSlowdown,
	}}
	if err := t.AddServer(s.Server, address); err != nil {
		return err
	}
	t.servers[s.ID] = s
	return nil
}

// writeDocument writes a new version of the document, with or without the optional
// route, and with more routes.
func (t *testbed) writeDocument(withOptionalRoute bool, more ...stub.Route) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.documentVersion += 1 + t.rng.IntN(3)
	routes := []stub.Route{
		{Address: entryDeskAddress, Service: "entry-desk", Kind: "safe", Priority: 1, Timeout: 1500 * time.Millisecond, Objective: 60 * time.Millisecond},
		{Address: cataloguePressAddress, Service: "catalogue-press", Kind: "unsafe"},
	}
	if withOptionalRoute {
		routes = append(routes, stub.Route{Address: optionalAddress, Service: "entry-desk"})
	}
	for i := range routes {
		routes[i].Warmup, routes[i].WarmupRate = warmupDuration, t.coldLimit()
	}
	t.documentRoutes = append(routes, more...)
	t.PutDocument(t.documentVersion, t.documentRoutes...)
	t.pendingVersions[t.documentVersion] = newOrder(maxConfigDelay)
	if withOptionalRoute != t.hasOptionalRoute {
		t.hasOptionalRoute, t.optionalRouteChangedAt, t.optionalRoute = withOptionalRoute, time.Now(), newOrder(maxConfigDelay)
	}
}

// coldLimit returns the requests per second that the document allows for a cold
// server, 0 for no limit.
func (t *testbed) coldLimit() float64 {
	selected := len(t.settings.Faults) == 0 || slices.Contains(t.settings.Faults, coldReleases)
	if !selected || t.settings.Seed%limitSeeds == 0 {
		return 0
	}
	return warmupRate
}

// addHost writes the settings of a host, adds the host to the routers and starts
// its process.
func (t *testbed) addHost(number int) error {
	addresses := t.HostAddresses(number)
	p := &hostProcess{name: fmt.Sprintf("h%d", number), admin: addresses.Admin.String()}
	var err error
	if p.proxy, err = startProxy(t.StoreAddress); err != nil {
		return eris.Wrap(err, "start the store proxy of a host")
	}
	dataCentre, routerCentre := localDataCentre, ""
	if number > 1 && t.settings.Seed%loneHostSeeds == 0 {
		dataCentre, routerCentre = remoteDataCentre, remoteDataCentre
	}
	settings := setup.Settings{Name: p.name, DataCentre: dataCentre, Marked: &setup.Marked{
		Packets: addresses.Packets.String(), Ready: addresses.Ready.String(), Peer: addresses.Peer.String(), Admin: p.admin,
		Store: p.proxy.address(), Seeds: []string{t.HostAddresses(1).Peer.String()},
		WarmupOverage: warmupOverage, WarmupSlack: warmupSlack,
	}}
	data, err := json.Marshal(&settings)
	if err != nil {
		return eris.Wrap(err, "encode the settings of a host")
	}
	p.settingsPath = filepath.Join(t.dir, p.name+".json")
	if err := os.WriteFile(p.settingsPath, data, 0o600); err != nil {
		return eris.Wrap(err, "write the settings of a host")
	}
	t.hosts = append(t.hosts, p)
	t.Router.Add(stub.Host{Name: p.name, DataCentre: routerCentre, Packets: addresses.Packets, Ready: addresses.Ready})
	return p.start(t)
}

// start starts the process of a host.
func (p *hostProcess) start(t *testbed) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	logFile, err := os.OpenFile(filepath.Join(t.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "open the log of a host")
	}
	defer func() { _ = logFile.Close() }()
	p.starts++
	p.lastVersion = 0
	p.cmd = exec.Command(t.settings.Program, "serve", "--settings", p.settingsPath)
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	return eris.Wrap(p.cmd.Start(), "start the process of a host")
}

// signal sends a signal to the process of the host.
func (p *hostProcess) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.cmd.Process.Signal(sig)
}

// wait waits until the process of the host exits.
func (p *hostProcess) wait() {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	_ = cmd.Wait()
}

// close stops all hosts, proxies and servers and the platform.
func (t *testbed) close() {
	for _, p := range t.hosts {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		p.wait()
		p.proxy.close()
	}
	for _, s := range t.servers {
		s.Crash()
	}
	t.pausing.Close()
	t.bursting.Close()
	t.Platform.Close()
}
