package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxyMode is what a proxy does to connections.
type proxyMode int

const (
	// pass forwards bytes.
	pass proxyMode = iota
	// refuse resets new connections.
	refuse
	// silent takes connections and bytes and forwards nothing.
	silent
	// deaf forwards requests and swallows the answers.
	deaf
	// delayed forwards bytes late.
	delayed
	proxyModes
)

// proxyDelay is by how much a delayed proxy is late.
const proxyDelay = 150 * time.Millisecond

// proxy forwards connections to a target, with faults.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	mode     proxyMode
	open     map[net.Conn]struct{}
}

func startProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, open: map[net.Conn]struct{}{}}
	go p.loop()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}

func (p *proxy) set(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *proxy) get() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// reset resets the open connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (p *proxy) loop() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.run(c)
	}
}

func (p *proxy) run(c net.Conn) {
	if p.get() == refuse {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
		return
	}
	s, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	p.open[c], p.open[s] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { p.copyBytes(s, c, silent, silent) })
	group.Go(func() { p.copyBytes(c, s, silent, deaf) })
	group.Wait()
	p.mu.Lock()
	delete(p.open, c)
	delete(p.open, s)
	p.mu.Unlock()
}

// copyBytes forwards in one direction; in either of two modes the bytes are
// swallowed, and the connection is silent from then on.
func (p *proxy) copyBytes(to, from net.Conn, a, b proxyMode) {
	defer func() { _ = to.Close() }()
	buf := make([]byte, 16<<10)
	swallowed := false
	for {
		n, err := from.Read(buf)
		m := p.get()
		swallowed = swallowed || m == a || m == b
		if m == delayed {
			time.Sleep(proxyDelay)
		}
		if n > 0 && !swallowed {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err == io.EOF && !swallowed {
			return
		}
		if err != nil {
			return
		}
	}
}
