package dgram

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"lagoonramp.org/lagoonramp/pkg/flow"
)

// portReuseDelay is the time before a released port is used for the same server
// again, so that a delayed reply to the previous flow does not reach the next.
const portReuseDelay = 10 * time.Second

// errNoPort is returned if the limit of local ports for a server is reached.
var errNoPort = errors.New("all local ports towards the server are in use")

// localPort is a socket towards servers. A local port and a server's address
// together identify one flow.
type localPort struct {
	conn *net.UDPConn
	// flows maps server addresses to flows. It is nil if replies carry a PROXY
	// header, which identifies the flow.
	flows map[netip.AddrPort]flow.Key
}

// upstream is the path of a flow's datagrams to its server: the local port, the
// server, and the server's address when the flow was pinned.
type upstream struct {
	port   *localPort
	server *Server
	addr   netip.AddrPort
}

// portSet allocates the local ports of one worker.
type portSet struct {
	bind     netip.Addr
	maxPorts int
	ports    []*localPort
	// used is, for each server, the number of leading elements of ports that
	// were allocated for that server at least once.
	used map[netip.AddrPort]int
	// freed holds, for each server, the released ports, oldest first.
	freed map[netip.AddrPort][]freedPort
	// onOpen is called for each newly opened port.
	onOpen func(*localPort)
}

// freedPort is a port that was released at the time freedAt.
type freedPort struct {
	port    *localPort
	freedAt time.Duration
}

// newPortSet returns a set of at most maxPorts ports on the local address bind,
// which may be unset.
func newPortSet(bind netip.Addr, maxPorts int, onOpen func(*localPort)) *portSet {
	return &portSet{bind: bind, maxPorts: maxPorts, onOpen: onOpen,
		used: map[netip.AddrPort]int{}, freed: map[netip.AddrPort][]freedPort{}}
}

// acquire returns a port that no flow to the server uses. It reuses a released
// port after portReuseDelay and opens a new one if necessary.
func (s *portSet) acquire(now time.Duration, server netip.AddrPort) (*localPort, error) {
	if f := s.freed[server]; len(f) > 0 && now-f[0].freedAt >= portReuseDelay {
		s.freed[server] = f[1:]
		return f[0].port, nil
	}
	n := s.used[server]
	if n >= s.maxPorts {
		return nil, errNoPort
	}
	if n == len(s.ports) {
		var local *net.UDPAddr
		if s.bind.IsValid() {
			local = net.UDPAddrFromAddrPort(netip.AddrPortFrom(s.bind, 0))
		}
		conn, err := net.ListenUDP("udp", local)
		if err != nil {
			return nil, err
		}
		p := &localPort{conn: conn, flows: map[netip.AddrPort]flow.Key{}}
		s.ports = append(s.ports, p)
		s.onOpen(p)
	}
	s.used[server] = n + 1
	return s.ports[n], nil
}

// release makes a port available for other flows to the server after its flow has
// ended.
func (s *portSet) release(now time.Duration, p *localPort, server netip.AddrPort) {
	delete(p.flows, server)
	s.freed[server] = append(s.freed[server], freedPort{p, now})
}

// close closes the sockets of all ports.
func (s *portSet) close() {
	for _, p := range s.ports {
		_ = p.conn.Close()
	}
}
