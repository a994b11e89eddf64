package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxyMode says how a proxy handles connections.
type proxyMode int

const (
	// proxyForward forwards all bytes.
	proxyForward proxyMode = iota
	// proxyRefuse resets new connections.
	proxyRefuse
	// proxyDropAll accepts connections and drops all bytes.
	proxyDropAll
	// proxyDropReplies forwards requests and drops the replies.
	proxyDropReplies
	// proxySlow delays all bytes by proxyDelay.
	proxySlow
	proxyModeCount
)

// proxyDelay is the delay of each read in mode proxySlow.
const proxyDelay = 150 * time.Millisecond

// proxy forwards TCP connections to a target and can inject faults.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	mode     proxyMode
	conns    map[net.Conn]struct{}
}

// startProxy starts a proxy on a free loopback port.
func startProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]struct{}{}}
	go p.acceptLoop()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetConns()
}

func (p *proxy) setMode(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// resetConns aborts all open connections with a TCP reset.
func (p *proxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (p *proxy) acceptLoop() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forwardConn(c)
	}
}

// forwardConn forwards the connection of a client until both directions end.
func (p *proxy) forwardConn(client net.Conn) {
	if p.currentMode() == proxyRefuse {
		_ = client.(*net.TCPConn).SetLinger(0)
		_ = client.Close()
		return
	}
	server, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = client.Close()
		return
	}
	p.mu.Lock()
	p.conns[client], p.conns[server] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { p.copyBytes(server, client, proxyDropAll, proxyDropAll) })
	group.Go(func() { p.copyBytes(client, server, proxyDropAll, proxyDropReplies) })
	group.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
}

// copyBytes forwards the bytes of one direction. Once the proxy is in one of the
// two drop modes, copyBytes drops all further bytes of the connection, even after
// the mode changes again.
func (p *proxy) copyBytes(to, from net.Conn, dropMode1, dropMode2 proxyMode) {
	defer func() { _ = to.Close() }()
	buf := make([]byte, 16<<10)
	dropping := false
	for {
		n, err := from.Read(buf)
		mode := p.currentMode()
		dropping = dropping || mode == dropMode1 || mode == dropMode2
		if mode == proxySlow {
			time.Sleep(proxyDelay)
		}
		if n > 0 && !dropping {
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err == io.EOF && !dropping {
			return
		}
		if err != nil {
			return
		}
	}
}
