package dgram

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"lagoonramp.org/lagoonramp/pkg/flow"
)

// portRest is how long a port is not used for a server again, so that a late
// answer does not reach another flow.
const portRest = 10 * time.Second

var errNoPort = errors.New("all local ports towards the server are in use")

// localPort is a socket towards servers. Together with a server's address it
// stands for one flow.
type localPort struct {
	conn  *net.UDPConn
	flows map[netip.AddrPort]flow.Key
}

// link is where a flow leaves the host.
type link struct {
	port   *localPort
	server *Server
	to     netip.AddrPort
}

// portSet hands out ports, for one worker.
type portSet struct {
	bind  netip.Addr
	limit int
	ports []*localPort
	// used counts, for each server, the ports taken from the front of ports.
	used  map[netip.AddrPort]int
	freed map[netip.AddrPort][]freedPort
	// opened is called for each new port.
	opened func(*localPort)
}

type freedPort struct {
	port *localPort
	at   time.Duration
}

func newPortSet(bind netip.Addr, limit int, opened func(*localPort)) *portSet {
	return &portSet{bind: bind, limit: limit, opened: opened,
		used: map[netip.AddrPort]int{}, freed: map[netip.AddrPort][]freedPort{}}
}

// take returns a port that no flow uses towards a server.
func (s *portSet) take(now time.Duration, server netip.AddrPort) (*localPort, error) {
	if f := s.freed[server]; len(f) > 0 && now-f[0].at >= portRest {
		s.freed[server] = f[1:]
		return f[0].port, nil
	}
	n := s.used[server]
	if n >= s.limit {
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
		s.opened(p)
	}
	s.used[server] = n + 1
	return s.ports[n], nil
}

// give returns a port after its flow ended.
func (s *portSet) give(now time.Duration, p *localPort, server netip.AddrPort) {
	delete(p.flows, server)
	s.freed[server] = append(s.freed[server], freedPort{p, now})
}

func (s *portSet) close() {
	for _, p := range s.ports {
		_ = p.conn.Close()
	}
}
