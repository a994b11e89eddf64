package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"lagoonramp.org/lagoonramp/internal/fakes"
	"lagoonramp.org/lagoonramp/internal/host"
	"lagoonramp.org/lagoonramp/internal/setup"
	"lagoonramp.org/lagoonramp/internal/wire"
	"lagoonramp.org/lagoonramp/pkg/conf"
	"lagoonramp.org/lagoonramp/pkg/store"
)

// Cluster runs hosts, the platform and the fabric in one process, on loopback
// addresses.
type Cluster struct {
	Platform       *fakes.Platform
	Fabric         *fakes.Fabric
	platformServer *httptest.Server
	log            *zap.Logger
	drainTimeout   time.Duration
	// lastAddress is the number of the last address that FreeAddress tried.
	lastAddress atomic.Uint32

	mu    sync.Mutex
	hosts []*RunningHost
}

// RunningHost is a host of a cluster.
type RunningHost struct {
	Host     *host.Host
	Settings *setup.Settings
	stop     context.CancelFunc
	done     chan struct{}
	// ready means that the host has reported its readiness. Excluded means that
	// the fabric must not send traffic to the host.
	ready, excluded bool
}

// peerSecret is the key, in hexadecimal, that authenticates messages of peers.
const peerSecret = "6c61676f6f6e72616d702064656d6f20"

// NewCluster starts a platform and a fabric. The drainTimeout bounds the
// graceful shutdown of hosts.
func NewCluster(log *zap.Logger, drainTimeout time.Duration) (*Cluster, error) {
	f, err := fakes.NewFabric("127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "start the fabric")
	}
	p := fakes.NewPlatform()
	return &Cluster{Platform: p, Fabric: f, platformServer: httptest.NewServer(p), log: log, drainTimeout: drainTimeout}, nil
}

// Close stops the hosts, the fabric and the platform at once.
func (c *Cluster) Close() {
	for _, h := range c.Hosts() {
		h.stop()
		h.Host.Kill()
	}
	c.Fabric.Close()
	c.platformServer.CloseClientConnections()
	c.platformServer.Close()
}

// Hosts returns the hosts that have neither left nor been killed.
func (c *Cluster) Hosts() []*RunningHost {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.hosts)
}

// FreeAddress returns a loopback address that is free for UDP and TCP. Each call
// returns another IP address, which outgoing connections do not use, so that no
// other socket takes the port before the caller does.
func (c *Cluster) FreeAddress() (string, error) {
	const (
		maxAttempts = 200
		port        = 7000
		// The process ID selects the second octet, so that processes that run
		// at the same time usually use different addresses.
		minSecondOctet = 100
	)
	for range maxAttempts {
		n := c.lastAddress.Add(1)
		address := fmt.Sprintf("127.%d.%d.%d:%d", minSecondOctet+os.Getpid()%100, n>>8&0xff, n&0xff, port)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", address)
		_ = l.Close()
		if err != nil {
			continue
		}
		_ = u.Close()
		return address, nil
	}
	return "", eris.New("no free loopback address found")
}

// AddHost starts a host. If receivesTraffic is set, the fabric sends traffic to
// the host as soon as it is ready.
func (c *Cluster) AddHost(name, dataCentre string, receivesTraffic bool) (*RunningHost, error) {
	settings := &setup.Settings{
		Name: name, DataCentre: dataCentre, Platform: c.platformServer.URL, ServerBind: "127.0.0.1",
		Ingress: setup.Ingress{Fabric: c.Fabric.ReturnAddress().String()},
		Keys:    []setup.Key{{ID: 1, Secret: peerSecret}},
		Limits:  setup.Limits{Workers: 2, Drain: conf.Duration(c.drainTimeout), CallerConnections: 4096},
	}
	for _, a := range []*string{&settings.Peer, &settings.Admin, &settings.Ingress.UDP, &settings.Ingress.TCP} {
		address, err := c.FreeAddress()
		if err != nil {
			return nil, err
		}
		*a = address
	}
	if err := settings.Check(); err != nil {
		return nil, err
	}
	h, err := host.New(settings, c.log)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	running := &RunningHost{Host: h, Settings: settings, stop: cancel, done: make(chan struct{}), excluded: !receivesTraffic}
	go func() {
		defer close(running.done)
		_ = h.Run(ctx, context.Background())
	}()
	c.mu.Lock()
	c.hosts = append(c.hosts, running)
	c.mu.Unlock()
	c.publishHosts()
	if receivesTraffic {
		go c.pollReadiness(running)
	}
	return running, nil
}

// pollReadiness polls a host, as a fabric does, until it is ready, and then adds
// it to the fabric's rotation. A host that has just joined has no configuration
// and would reset connections.
func (c *Cluster) pollReadiness(h *RunningHost) {
	for {
		resp, err := http.Get("http://" + h.Settings.Admin + "/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				break
			}
		}
		select {
		case <-h.done:
			return
		case <-time.After(readinessPollInterval):
		}
	}
	c.mu.Lock()
	h.ready = true
	c.mu.Unlock()
	c.publishHosts()
}

// readinessPollInterval is the interval between the readiness checks of a host
// that is not ready.
const readinessPollInterval = 20 * time.Millisecond

// WaitInRotation waits until the fabric sends traffic to exactly count hosts, and
// reports whether it did before the timeout.
func (c *Cluster) WaitInRotation(count int, timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(readinessPollInterval) {
		n := 0
		c.mu.Lock()
		for _, h := range c.hosts {
			if h.ready && !h.excluded {
				n++
			}
		}
		c.mu.Unlock()
		if n == count {
			return true
		}
	}
	return false
}

// publishHosts updates the platform's list of hosts and the fabric's rotation.
func (c *Cluster) publishHosts() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []store.Host
	var rotation []fakes.FabricHost
	for _, h := range c.hosts {
		s := h.Settings
		list = append(list, store.Host{Name: s.Name, DataCentre: s.DataCentre, PeerAddress: s.Peer})
		if h.ready && !h.excluded {
			rotation = append(rotation, fakes.FabricHost{Name: s.Name,
				UDP: netip.MustParseAddrPort(s.Ingress.UDP), TCP: netip.MustParseAddrPort(s.Ingress.TCP)})
		}
	}
	c.Platform.SetHosts(list)
	c.Fabric.SetHosts(rotation)
}

// Withdraw permanently removes a host from the fabric's rotation.
func (c *Cluster) Withdraw(h *RunningHost) {
	c.mu.Lock()
	h.excluded = true
	c.mu.Unlock()
	c.publishHosts()
}

// Leave shuts a host down gracefully and returns when the host has stopped. The
// fabric sends traffic to it for another fabricDetectionDelay.
func (c *Cluster) Leave(h *RunningHost) {
	h.stop()
	time.Sleep(fabricDetectionDelay)
	c.Withdraw(h)
	<-h.done
	c.remove(h)
}

// Kill stops a host as a crash would. The fabric sends traffic to it for another
// fabricDetectionDelay.
func (c *Cluster) Kill(h *RunningHost) {
	h.Host.Kill()
	time.AfterFunc(fabricDetectionDelay, func() { c.Withdraw(h) })
	c.remove(h)
}

// fabricDetectionDelay is how long the fabric takes to detect that a host is
// stopping or has crashed.
const fabricDetectionDelay = time.Second

// remove removes a host from the list of hosts.
func (c *Cluster) remove(h *RunningHost) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts = slices.DeleteFunc(c.hosts, func(other *RunningHost) bool { return other == h })
}

// PutSection commits a team's section through a host's API, as the operators'
// command does. The base is the revision that the edit was made on, and id
// identifies the edit. It returns an error if the section was not committed.
func PutSection(h *RunningHost, team, id string, base uint64, section conf.Section) (*wire.PutResponse, error) {
	body, err := json.Marshal(wire.PutRequest{Section: section, Base: base, Who: "demo", ID: id})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+h.Settings.Admin+"/api/config/"+team, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "put a section")
	}
	defer resp.Body.Close()
	response := &wire.PutResponse{}
	if err := json.NewDecoder(io.LimitReader(resp.Body, 1<<20)).Decode(response); err != nil {
		return nil, eris.Wrap(err, "put a section")
	}
	if response.Commit == nil {
		return response, eris.Errorf("put a section: %s", response.Error)
	}
	return response, nil
}

// RevisionInForce queries a host for the revision that is in force on it. It
// returns 0 if there is none or the query fails.
func RevisionInForce(h *RunningHost) uint64 {
	resp, err := http.Get("http://" + h.Settings.Admin + "/api/config")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var response wire.ConfigResponse
	if err := json.NewDecoder(resp.Body).Decode(&response); err != nil || response.Head == nil {
		return 0
	}
	return response.Head.Revision
}

// WaitInForce waits until a revision is in force on every host. It returns the
// time that each host took, by name, without the hosts on which the revision is
// not in force before the timeout.
func (c *Cluster) WaitInForce(revision uint64, timeout time.Duration) map[string]time.Duration {
	const pollInterval = 10 * time.Millisecond
	start := time.Now()
	var mu sync.Mutex
	took := map[string]time.Duration{}
	var wg sync.WaitGroup
	for _, h := range c.Hosts() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Since(start) < timeout {
				if RevisionInForce(h) >= revision {
					mu.Lock()
					took[h.Host.Name()] = time.Since(start)
					mu.Unlock()
					return
				}
				time.Sleep(pollInterval)
			}
		}()
	}
	wg.Wait()
	return took
}

// WaitMembers waits until each host of a data centre sees exactly count active
// hosts, and reports whether all did before the timeout.
func (c *Cluster) WaitMembers(dataCentre string, count int, timeout time.Duration) bool {
	const pollInterval = 20 * time.Millisecond
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		all := true
		for _, h := range c.Hosts() {
			if h.Settings.DataCentre == dataCentre && h.Host.ActiveHosts() != count {
				all = false
			}
		}
		if all {
			return true
		}
	}
	return false
}

// StartServers starts count backend servers of a service and returns them with
// their entries for the configuration. The servers are created by newServer.
func StartServers(service string, protocol conf.Protocol, dataCentre string, count, slots int, newServer func(i int) *fakes.Server) ([]conf.Server, []*fakes.Server, error) {
	var entries []conf.Server
	var servers []*fakes.Server
	for i := range count {
		s := newServer(i)
		s.Service, s.Name, s.Slots = service, fmt.Sprintf("%s-%s-%d", service, dataCentre, i+1), slots
		listen := s.ListenHTTP
		switch protocol {
		case conf.UDP:
			listen = s.ServeUDP
		case conf.TCP:
			listen = s.ServeTCP
		}
		address, err := listen("127.0.0.1:0")
		if err != nil {
			return nil, nil, eris.Wrapf(err, "start a server of %s", service)
		}
		entries = append(entries, conf.Server{Name: s.Name, Address: address, DataCentre: dataCentre,
			Slots: slots, Connections: maxServerConnections, State: conf.Active})
		servers = append(servers, s)
	}
	return entries, servers, nil
}

// maxServerConnections is the connection limit in the servers' entries.
const maxServerConnections = 2000

// MaxOverMean returns the ratio of the highest count to the mean, or 0 if all
// counts are 0.
func MaxOverMean(counts []int) float64 {
	sum, highest := 0, 0
	for _, c := range counts {
		sum += c
		highest = max(highest, c)
	}
	if sum == 0 {
		return 0
	}
	return float64(highest) * float64(len(counts)) / float64(sum)
}
