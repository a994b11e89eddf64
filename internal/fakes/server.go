package fakes

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Server is a stand-in for a backend server. It serves one protocol and counts
// the work that it receives. Answers name the service and the server, so that
// callers can check where an answer comes from.
type Server struct {
	Service, Name string
	// Slots is the number of requests that run at a time. Further ones are shed.
	Slots int
	// ShortDuration and LongDuration are the processing times of short and long
	// requests.
	ShortDuration, LongDuration time.Duration
	// Runs counts the runs of registrations. The servers of a service share it.
	Runs *RunCounter

	inFlight    atomic.Int64
	handled     atomic.Int64
	busyTime    atomic.Int64
	shed        atomic.Int64
	misdirected atomic.Int64
	closers     []io.Closer
	mu          sync.Mutex
	conns       map[net.Conn]struct{}
}

// RunCounter counts the runs of requests by idempotency key.
type RunCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

// NewRunCounter returns a RunCounter without runs.
func NewRunCounter() *RunCounter { return &RunCounter{counts: map[string]int{}} }

// Add counts a run of a key's request.
func (r *RunCounter) Add(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[key]++
}

// Count returns the number of runs of a key's request.
func (r *RunCounter) Count(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[key]
}

// Handled returns the number of flows, connections or requests accepted.
func (s *Server) Handled() int { return int(s.handled.Load()) }

// BusyTime returns the total time for which requests occupied slots.
func (s *Server) BusyTime() time.Duration { return time.Duration(s.busyTime.Load()) }

// Shed returns the number of requests shed.
func (s *Server) Shed() int { return int(s.shed.Load()) }

// Misdirected returns the number of datagrams, connections or requests of
// another service that arrived here.
func (s *Server) Misdirected() int { return int(s.misdirected.Load()) }

// Close closes the server's listeners and connections at once.
func (s *Server) Close() {
	for _, c := range s.closers {
		_ = c.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}

// ServeUDP starts to answer each datagram "service flow sequence" with the same
// text and the server's name. It returns the address that it listens on.
func (s *Server) ServeUDP(address string) (string, error) {
	a, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return "", err
	}
	conn, err := net.ListenUDP("udp", a)
	if err != nil {
		return "", err
	}
	s.closers = append(s.closers, conn)
	go s.udpLoop(conn)
	return conn.LocalAddr().String(), nil
}

// udpLoop answers datagrams and counts each flow once.
func (s *Server) udpLoop(conn *net.UDPConn) {
	b := make([]byte, maxDatagramBytes)
	flows := map[string]bool{}
	for {
		n, from, err := conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		fields := strings.Fields(string(b[:n]))
		if len(fields) < 3 || fields[0] != s.Service {
			s.misdirected.Add(1)
			continue
		}
		if !flows[fields[1]] {
			flows[fields[1]] = true
			s.handled.Add(1)
		}
		_, _ = conn.WriteToUDPAddrPort(fmt.Appendf(b[:n], " %s", s.Name), from)
	}
}

// ServeTCP starts to answer each line "service connection sequence" with the
// same text and the server's name. It returns the address that it listens on.
func (s *Server) ServeTCP(address string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	s.conns = map[net.Conn]struct{}{}
	s.closers = append(s.closers, l)
	go func() {
		for {
			c, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				go s.serveConn(c)
			}
		}
	}()
	return l.Addr().String(), nil
}

// serveConn answers the lines of a connection.
func (s *Server) serveConn(c net.Conn) {
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	defer c.Close()
	s.handled.Add(1)
	lines := bufio.NewScanner(c)
	for lines.Scan() {
		line := lines.Text()
		if !strings.HasPrefix(line, s.Service+" ") {
			s.misdirected.Add(1)
			return
		}
		if _, err := fmt.Fprintf(c, "%s %s\n", line, s.Name); err != nil {
			return
		}
	}
}

// ServeHTTP answers requests after ShortDuration, or LongDuration if the path
// begins with /long/. POST requests are registrations, whose runs it counts by
// their Idempotency-Key.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if n := s.inFlight.Add(1); int(n) > s.Slots {
		s.inFlight.Add(-1)
		s.shed.Add(1)
		w.Header().Set("Lagoonramp-Outcome", "not-run")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	defer s.inFlight.Add(-1)
	s.handled.Add(1)
	start := time.Now()
	defer func() { s.busyTime.Add(int64(time.Since(start))) }()
	if r.Host != s.Service {
		s.misdirected.Add(1)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.Method == http.MethodPost {
		s.Runs.Add(r.Header.Get("Idempotency-Key"))
	}
	duration := s.ShortDuration
	if strings.HasPrefix(r.URL.Path, "/long/") {
		duration = s.LongDuration
	}
	select {
	case <-time.After(duration):
	case <-r.Context().Done():
		return
	}
	if r.Method == http.MethodPost {
		w.WriteHeader(http.StatusCreated)
	}
	_, _ = fmt.Fprintf(w, "%s %s %s %s", s.Service, r.URL.Path, body, s.Name)
}

// ListenHTTP starts to serve HTTP. It returns the address that it listens on.
func (s *Server) ListenHTTP(address string) (string, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	web := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	s.closers = append(s.closers, web)
	go func() { _ = web.Serve(l) }()
	return l.Addr().String(), nil
}
