//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"lagoonramp.org/lagoonramp/platform"
	"lagoonramp.org/lagoonramp/platform/stub"
)

const (
	program = "target/lagoonramp"
	// stabilityTime is StabilityMs of the site: a machine without disruption for that
	// long is in touch.
	stabilityTime = 5 * time.Second
	readyTimeout  = 10 * time.Second
)

// bed is a small deployment: the project's stand-in of the platform and host
// processes.
type bed struct {
	*stub.Platform
	record *record
	dir    string
	hosts  []*hostProcess
	// servers are the backend servers by their IDs.
	servers map[string]*stub.Server
}

// hostProcess is a host of the deployment and its process, nil while it is down.
type hostProcess struct {
	name, settingsPath, dir string
	cmd                     *exec.Cmd
}

// newBed starts a platform on the network 127.N.0.0/16.
func newBed(r *record, network byte) (*bed, error) {
	dir, err := os.MkdirTemp("", "stand")
	if err != nil {
		return nil, err
	}
	p, err := stub.StartPlatform(network)
	if err != nil {
		return nil, err
	}
	return &bed{Platform: p, record: r, dir: dir, servers: map[string]*stub.Server{}}, nil
}

// addServer starts a backend server and registers it.
func (b *bed) addServer(n int, service, dataCentre string, slots int) (*stub.Server, error) {
	s := &stub.Server{ID: fmt.Sprintf("i-%02x%06x", 7*n, n), Service: service, DataCentre: dataCentre, Slots: slots}
	if err := b.AddServer(s, b.ServerAddress(n)); err != nil {
		return nil, err
	}
	b.servers[s.ID] = s
	return s, nil
}

// addHost starts the nth host. Its settings are those that the template of the deploy
// file gives.
func (b *bed) addHost(n int, dataCentre, store string) (*hostProcess, error) {
	a := b.HostAddresses(n)
	settings := map[string]any{
		"name": fmt.Sprintf("h%d", n), "dataCentre": dataCentre,
		"marked": map[string]any{
			"packets": a.Packets.String(), "ready": a.Ready.String(), "peer": a.Peer.String(), "admin": a.Admin.String(),
			"store": store, "seeds": []string{b.HostAddresses(1).Peer.String()}, "flowLifetime": "60s", "warmupOverage": 1.5, "warmupSlack": 5, "grace": "6s",
		},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	h := &hostProcess{name: fmt.Sprintf("h%d", n), dir: b.dir}
	h.settingsPath = filepath.Join(b.dir, h.name+".json")
	if err := os.WriteFile(h.settingsPath, data, 0o600); err != nil {
		return nil, err
	}
	b.hosts = append(b.hosts, h)
	b.AddToRouters(h.name, a)
	return h, h.start()
}

// start starts the process of the host by the command of the deploy file.
func (h *hostProcess) start() error {
	f, err := os.OpenFile(filepath.Join(h.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	h.cmd = exec.Command(program, "serve")
	h.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+h.settingsPath)
	h.cmd.Stdout, h.cmd.Stderr = f, f
	return h.cmd.Start()
}

// kill ends the process of the host by SIGKILL.
func (h *hostProcess) kill() {
	if h.cmd != nil {
		_ = h.cmd.Process.Signal(syscall.SIGCONT)
		_ = h.cmd.Process.Kill()
		_ = h.cmd.Wait()
		h.cmd = nil
	}
}

// awaitReady waits until the routers use all hosts, and then until these are in
// touch.
func (b *bed) awaitReady() error {
	for end := time.Now().Add(readyTimeout); b.Router.HostsInRotation() < len(b.hosts); {
		if time.Now().After(end) {
			return errors.New("the hosts did not become ready")
		}
		time.Sleep(50 * time.Millisecond)
	}
	b.record.printf("%d hosts are ready", len(b.hosts))
	time.Sleep(stabilityTime + time.Second)
	return nil
}

// close ends all processes and stand-ins. It keeps the logs of the hosts only if
// KEEP_LOGS is set.
func (b *bed) close() {
	for _, h := range b.hosts {
		h.kill()
	}
	for _, s := range b.servers {
		s.Crash()
	}
	b.Platform.Close()
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs in", b.dir)
		return
	}
	_ = os.RemoveAll(b.dir)
}
