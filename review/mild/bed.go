//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"lagoonramp.org/lagoonramp/platform/stub"
)

// grace is GraceS of the sites, and restartDelay the delay after which the
// platform starts a process again.
const (
	grace        = 6 * time.Second
	restartDelay = 2 * time.Second
	flowLifetime = 60 * time.Second
	idleTimeout  = 15 * time.Second
	// heartbeat is the interval at which servers write their entries. An entry
	// goes after three intervals of silence.
	heartbeat = 770 * time.Millisecond
)

// bed is a small deployment: the store, the routers, the servers and the hosts.
type bed struct {
	record  *record
	dir     string
	program string
	// network is the second byte of all addresses, and port the port of all
	// packets.
	network byte
	port    uint16
	store   *stub.Store
	http    *http.Server
	address string
	router  *router
	hosts   []*host
	version int
	// latency is that of the way between requesters and routers and from servers
	// to requesters.
	latency time.Duration

	// onOpening is called for each SYN of a new flow that a server takes. It may be nil.
	onOpening func(s *server)
	// arrivals holds which packets of flows reached which servers.
	arrivals *arrivalLog

	mu      sync.Mutex
	servers map[netip.Addr]*server
	created int
}

// host is a process of lagoonramp.
type host struct {
	bed            *bed
	name, zone     string
	ip             netip.Addr
	settings, logs string
	mu             sync.Mutex
	cmd            *exec.Cmd
	exited         chan struct{}
}

// newBed starts the store and the routers.
func newBed(rec *record, program string) (*bed, error) {
	b := &bed{record: rec, program: program, servers: map[netip.Addr]*server{}, store: stub.NewStore(), arrivals: &arrivalLog{byFlow: map[netip.AddrPort][]packetArrival{}}}
	var err error
	if b.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	if err := b.choosePorts(); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b.address = l.Addr().String()
	b.http = &http.Server{Handler: b.store}
	go func() { _ = b.http.Serve(l) }()
	b.router = startRouter(rec)
	return b, nil
}

// choosePorts chooses a network and four consecutive ports that are free there.
func (b *bed) choosePorts() error {
	for range 200 {
		b.network = byte(20 + rand.IntN(200))
		b.port = uint16(18_000 + 4*rand.IntN(3_000))
		if b.portsFree() {
			return nil
		}
	}
	return errors.New("no free ports")
}

func (b *bed) portsFree() bool {
	for i := range 4 {
		u, err := net.ListenUDP("udp4", &net.UDPAddr{Port: int(b.port) + i})
		if err != nil {
			return false
		}
		_ = u.Close()
		l, err := net.Listen("tcp4", fmt.Sprintf(":%d", int(b.port)+i))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// ip returns the n-th address of a block.
func (b *bed) ip(block byte, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, b.network, block, byte(n)})
}

// route is a route of the configuration.
type route struct {
	address              netip.AddrPort
	service, kind        string
	timeout, targetValue time.Duration
}

// putConfig writes the next version of the configuration.
func (b *bed) putConfig(routes ...route) {
	b.version++
	type wireRoute struct {
		Name, Host, Prefix, Type, Service string
		TimeoutMs, TargetLatencyMs        int64
		Priority, Attempts                int
	}
	type wireService struct{ Name, HealthPath string }
	var doc struct {
		Version  int
		Routes   []wireRoute
		Services []wireService
		Limits   struct{ IdleTimeoutMs int64 }
	}
	doc.Version = b.version
	doc.Limits.IdleTimeoutMs = idleTimeout.Milliseconds()
	seen := map[string]bool{}
	for i, r := range routes {
		doc.Routes = append(doc.Routes, wireRoute{
			Name: fmt.Sprintf("r-%07d", i+1), Host: r.address.Addr().String(), Prefix: fmt.Sprintf("/%d/", r.address.Port()), Type: r.kind, Service: r.service,
			TimeoutMs: r.timeout.Milliseconds(), TargetLatencyMs: r.targetValue.Milliseconds(), Priority: 1, Attempts: 1,
		})
		if !seen[r.service] {
			seen[r.service] = true
			doc.Services = append(doc.Services, wireService{r.service, "/health"})
		}
	}
	data, err := json.Marshal(&doc)
	if err != nil {
		panic(err) // All fields can be encoded.
	}
	b.store.Put("op/config", data)
	b.record.line("operator: configuration %d with %d routes, %d bytes, is in the store", b.version, len(routes), len(data))
}

// addServers starts n servers of a service in a zone and registers them.
func (b *bed) addServers(n int, service, zone string, slots int) error {
	for range n {
		if _, err := b.addServer(fmt.Sprintf("i-%08x", rand.Uint32()), service, zone, slots); err != nil {
			return err
		}
	}
	return nil
}

// addServer starts a server with an id and registers it.
func (b *bed) addServer(id, service, zone string, slots int) (*server, error) {
	b.mu.Lock()
	b.created++
	number := b.created
	b.mu.Unlock()
	s, err := b.newServer(id, service, zone, slots, netip.AddrPortFrom(b.ip(3, number), b.port))
	if err != nil {
		return nil, err
	}
	b.store.Put(s.key(), s.entry("ready"))
	b.mu.Lock()
	b.servers[s.address.Addr()] = s
	b.mu.Unlock()
	b.record.line("server %s of %s in %s at %s", s.id, service, zone, s.address)
	return s, nil
}

// serverAt returns the server with an address, or nil.
func (b *bed) serverAt(a netip.Addr) *server {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.servers[a]
}

// crash crashes a server. Its entry goes after three heartbeats.
func (b *bed) crash(s *server) {
	s.crash()
	b.record.line("disruption: server %s (%s in %s) crashes", s.id, s.service, s.zone)
	time.AfterFunc(3*heartbeat, func() { b.store.Delete(s.key()) })
}

// addHosts starts n hosts in a zone.
func (b *bed) addHosts(n int, zone string) error {
	for range n {
		number := len(b.hosts) + 1
		h := &host{bed: b, name: fmt.Sprintf("frontend-%s-%d", zone, number), zone: zone, ip: b.ip(2, number)}
		if err := h.writeSettings(); err != nil {
			return err
		}
		b.hosts = append(b.hosts, h)
		b.router.add(&routedHost{name: h.name, zone: zone, packets: h.at(0), ready: h.at(1)})
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

// waitReady waits until all hosts are in rotation.
func (b *bed) waitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if b.router.inRotation() == len(b.hosts) {
			return nil
		}
	}
	return errors.New("not all hosts are in rotation after 15 s")
}

func (h *host) at(offset uint16) netip.AddrPort {
	return netip.AddrPortFrom(h.ip, h.bed.port+offset)
}

// writeSettings writes the settings file as platform/settings.json.tmpl has it.
func (h *host) writeSettings() error {
	seeds := []string{}
	for i := range 3 {
		seeds = append(seeds, netip.AddrPortFrom(h.bed.ip(2, 1+2*i), h.bed.port+2).String())
	}
	marked := map[string]any{
		"packets": h.at(0).String(), "ready": h.at(1).String(), "peer": h.at(2).String(), "admin": h.at(3).String(),
		"store": h.bed.address, "seeds": seeds, "flowLifetime": flowLifetime.String(),
		"warmupOverage": 1.5, "warmupSlack": 5, "grace": grace.String(),
	}
	data, err := json.Marshal(map[string]any{"name": h.name, "dataCentre": h.zone, "marked": marked})
	if err != nil {
		return err
	}
	h.settings, h.logs = filepath.Join(h.bed.dir, h.name+".json"), filepath.Join(h.bed.dir, h.name+".log")
	return os.WriteFile(h.settings, data, 0o600)
}

// start starts the process with the command of the deploy file.
func (h *host) start() error {
	logs, err := os.OpenFile(h.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logs.Close() }()
	h.mu.Lock()
	defer h.mu.Unlock()
	cmd := exec.Command(h.bed.program, "serve")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "LAGOONRAMP_NODE_FILE=" + h.settings}
	cmd.Stdout, cmd.Stderr = logs, logs
	// A host ends with this process, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.cmd, h.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
		h.bed.record.line("process of %s ended", h.name)
	}()
	h.bed.record.line("process of %s started", h.name)
	return nil
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.cmd.Process.Signal(s)
}

// stop stops the process as the platform does: SIGTERM, and SIGKILL after grace.
// It reports whether SIGKILL was needed.
func (h *host) stop() bool {
	h.bed.record.line("disruption: SIGTERM to %s", h.name)
	h.signal(syscall.SIGTERM)
	select {
	case <-h.exited:
		return false
	case <-time.After(grace):
	}
	h.bed.record.line("SIGKILL to %s after the grace period", h.name)
	h.signal(syscall.SIGKILL)
	<-h.exited
	return true
}

// restart stops the process and starts it again.
func (h *host) restart() {
	h.stop()
	time.Sleep(restartDelay)
	if err := h.start(); err != nil {
		h.bed.record.line("start of %s failed: %v", h.name, err)
	}
}

// close ends all processes and stand-ins.
func (b *bed) close() {
	for _, h := range b.hosts {
		if h.cmd == nil {
			continue
		}
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
		<-h.exited
	}
	b.router.close()
	for _, s := range b.servers {
		s.crash()
	}
	b.store.Close()
	_ = b.http.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.dir)
	}
}
