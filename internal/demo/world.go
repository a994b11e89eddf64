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

// World is the system and its surroundings in one process.
type Cluster struct {
	Platform *fakes.Platform
	Fabric   *fakes.Fabric
	platform *httptest.Server
	log      *zap.Logger
	drain    time.Duration
	// addresses counts the addresses that were given out.
	addresses atomic.Uint32

	mu    sync.Mutex
	hosts []*RunningHost
}

// Node is a running host.
type RunningHost struct {
	Host     *host.Host
	Settings *setup.Settings
	stop     context.CancelFunc
	done     chan struct{}
	// ready tells that the host has said that it is ready, and gone that the
	// fabric gives it nothing any more.
	ready, gone bool
}

const demoSecret = "6c61676f6f6e72616d702064656d6f20"

// NewWorld starts a platform and a fabric. Drain bounds the hosts' graceful
// shutdown.
func NewCluster(log *zap.Logger, drain time.Duration) (*Cluster, error) {
	f, err := fakes.NewFabric("127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "start the fabric")
	}
	p := fakes.NewPlatform()
	return &Cluster{Platform: p, Fabric: f, platform: httptest.NewServer(p), log: log, drain: drain}, nil
}

// Close ends everything at once.
func (w *Cluster) Close() {
	for _, n := range w.Hosts() {
		n.stop()
		n.Host.Kill()
	}
	w.Fabric.Close()
	w.platform.CloseClientConnections()
	w.platform.Close()
}

// Hosts returns the running hosts.
func (w *Cluster) Hosts() []*RunningHost {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.hosts)
}

// FreeAddress returns a loopback address that is free for UDP and TCP. Each is
// on an IP number of its own, which outgoing connections do not use, so that
// nobody takes the port in between.
func (w *Cluster) FreeAddress() (string, error) {
	const (
		tries      = 200
		port       = 7000
		firstOctet = 100
	)
	for range tries {
		n := w.addresses.Add(1)
		address := fmt.Sprintf("127.%d.%d.%d:%d", firstOctet+os.Getpid()%100, n>>8&0xff, n&0xff, port)
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
	return "", eris.New("no free loopback address was found")
}

// AddHost starts a host. The first data centre's hosts get the fabric's
// traffic if front is set.
func (w *Cluster) AddHost(name, dataCentre string, front bool) (*RunningHost, error) {
	set := &setup.Settings{
		Name: name, DataCentre: dataCentre, Platform: w.platform.URL, ServerBind: "127.0.0.1",
		Ingress: setup.Ingress{Fabric: w.Fabric.ReturnAddress().String()},
		Keys:    []setup.Key{{ID: 1, Secret: demoSecret}},
		Limits:  setup.Limits{Workers: 2, Drain: conf.Duration(w.drain), CallerConnections: 4096},
	}
	for _, a := range []*string{&set.Peer, &set.Admin, &set.Ingress.UDP, &set.Ingress.TCP} {
		free, err := w.FreeAddress()
		if err != nil {
			return nil, err
		}
		*a = free
	}
	if err := set.Check(); err != nil {
		return nil, err
	}
	h, err := host.New(set, w.log)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &RunningHost{Host: h, Settings: set, stop: cancel, done: make(chan struct{}), gone: !front}
	go func() {
		defer close(n.done)
		_ = h.Run(ctx, context.Background())
	}()
	w.mu.Lock()
	w.hosts = append(w.hosts, n)
	w.mu.Unlock()
	w.refresh()
	if front {
		go w.readyLoop(n)
	}
	return n, nil
}

// readyLoop asks a host, as the fabric does, until it is ready. One that has just
// joined knows no configuration and would reset connections.
func (w *Cluster) readyLoop(n *RunningHost) {
	for {
		resp, err := http.Get("http://" + n.Settings.Admin + "/readyz")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				break
			}
		}
		select {
		case <-n.done:
			return
		case <-time.After(readyPoll):
		}
	}
	w.mu.Lock()
	n.ready = true
	w.mu.Unlock()
	w.refresh()
}

// readyPoll is how often the fabric asks a host that is not ready.
const readyPoll = 20 * time.Millisecond

// WaitFront waits until the fabric gives traffic to a number of hosts.
func (w *Cluster) WaitInRotation(count int, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(readyPoll) {
		n := 0
		w.mu.Lock()
		for _, h := range w.hosts {
			if h.ready && !h.gone {
				n++
			}
		}
		w.mu.Unlock()
		if n == count {
			return true
		}
	}
	return false
}

// refresh tells the platform and the fabric which hosts there are.
func (w *Cluster) refresh() {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []store.Host
	var front []fakes.FabricHost
	for _, n := range w.hosts {
		s := n.Settings
		list = append(list, store.Host{Name: s.Name, DataCentre: s.DataCentre, PeerAddress: s.Peer})
		if n.ready && !n.gone {
			front = append(front, fakes.FabricHost{Name: s.Name,
				UDP: netip.MustParseAddrPort(s.Ingress.UDP), TCP: netip.MustParseAddrPort(s.Ingress.TCP)})
		}
	}
	w.Platform.SetHosts(list)
	w.Fabric.SetHosts(front)
}

// Withdraw makes the fabric give a host nothing any more.
func (w *Cluster) Withdraw(n *RunningHost) {
	w.mu.Lock()
	n.gone = true
	w.mu.Unlock()
	w.refresh()
}

// Leave shuts a host down gracefully. It returns when the host has ended.
func (w *Cluster) Leave(n *RunningHost) {
	n.stop()
	time.Sleep(fabricNotices)
	w.Withdraw(n)
	<-n.done
	w.remove(n)
}

// Kill ends a host as a crash would. The fabric notices later.
func (w *Cluster) Kill(n *RunningHost) {
	n.Host.Kill()
	time.AfterFunc(fabricNotices, func() { w.Withdraw(n) })
	w.remove(n)
}

// fabricNotices is how long the fabric takes to see that a host is gone.
const fabricNotices = time.Second

func (w *Cluster) remove(n *RunningHost) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hosts = slices.DeleteFunc(w.hosts, func(o *RunningHost) bool { return o == n })
}

// Put commits an edit through a host, as the operators' command does.
func PutSection(n *RunningHost, team, id string, base uint64, s conf.Section) (*wire.PutResponse, error) {
	body, err := json.Marshal(wire.PutRequest{Section: s, Base: base, Who: "demo", ID: id})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequest(http.MethodPut, "http://"+n.Settings.Admin+"/api/config/"+team, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "put a section")
	}
	defer resp.Body.Close()
	out := &wire.PutResponse{}
	if err := json.NewDecoder(io.LimitReader(resp.Body, 1<<20)).Decode(out); err != nil {
		return nil, eris.Wrap(err, "put a section")
	}
	if out.Commit == nil {
		return out, eris.Errorf("put a section: %s", out.Error)
	}
	return out, nil
}

// Revision asks a host for its revision in force.
func RevisionInForce(n *RunningHost) uint64 {
	resp, err := http.Get("http://" + n.Settings.Admin + "/api/config")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var out wire.ConfigResponse
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil || out.Head == nil {
		return 0
	}
	return out.Head.Revision
}

// InForce waits until a revision is in force on every host. It returns the
// time that each host took; a host that took longer than limit is missing.
func (w *Cluster) WaitInForce(revision uint64, limit time.Duration) map[string]time.Duration {
	const poll = 10 * time.Millisecond
	began := time.Now()
	var mu sync.Mutex
	out := map[string]time.Duration{}
	var group sync.WaitGroup
	for _, n := range w.Hosts() {
		group.Add(1)
		go func() {
			defer group.Done()
			for time.Since(began) < limit {
				if RevisionInForce(n) >= revision {
					mu.Lock()
					out[n.Host.Name()] = time.Since(began)
					mu.Unlock()
					return
				}
				time.Sleep(poll)
			}
		}()
	}
	group.Wait()
	return out
}

// WaitMembers waits until the hosts of a data centre see that many active
// hosts, and reports whether they did within limit.
func (w *Cluster) WaitMembers(dataCentre string, count int, limit time.Duration) bool {
	const poll = 20 * time.Millisecond
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(poll) {
		all := true
		for _, n := range w.Hosts() {
			if n.Settings.DataCentre == dataCentre && n.Host.ActiveHosts() != count {
				all = false
			}
		}
		if all {
			return true
		}
	}
	return false
}

// Serving starts backend servers of a service and returns their entries.
func StartServers(service string, proto conf.Protocol, dataCentre string, count, slots int, make func(i int) *fakes.Server) ([]conf.Server, []*fakes.Server, error) {
	var entries []conf.Server
	var servers []*fakes.Server
	for i := range count {
		s := make(i)
		s.Service, s.Name, s.Slots = service, fmt.Sprintf("%s-%s-%d", service, dataCentre, i+1), slots
		listen := s.ListenHTTP
		switch proto {
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
			Slots: slots, Connections: serverConnections, State: conf.Active})
		servers = append(servers, s)
	}
	return entries, servers, nil
}

const serverConnections = 2000

// ServerLoad returns the highest of counts over their mean.
func MaxOverMean(counts []int) float64 {
	sum, top := 0, 0
	for _, c := range counts {
		sum += c
		top = max(top, c)
	}
	if sum == 0 {
		return 0
	}
	return float64(top) * float64(len(counts)) / float64(sum)
}
