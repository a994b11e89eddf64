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

// Server is a stand-in for a backend server. It serves one protocol and
// counts what it ran. Answers name the service and the server, so that
// callers can tell whose they are.
type Server struct {
	Service, Name string
	// Slots is how many requests it runs at a time; more are shed.
	Slots int
	// Short and Long are how long requests run.
	ShortDuration, LongDuration time.Duration
	// Runs is shared by the servers of a service.
	Runs *RunCounter

	inFlight atomic.Int64
	handled  atomic.Int64
	busy     atomic.Int64
	shed     atomic.Int64
	crossed  atomic.Int64
	closers  []io.Closer
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
}

// Runs counts how often each key was run.
type RunCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

// NewRuns returns an empty count.
func NewRunCounter() *RunCounter { return &RunCounter{counts: map[string]int{}} }

// Add counts a run.
func (r *RunCounter) Add(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[key]++
}

// Count returns how often a key was run.
func (r *RunCounter) Count(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[key]
}

// Handled returns how many flows, connections or requests were handled.
func (s *Server) Handled() int { return int(s.handled.Load()) }

// Busy returns the slot time that requests took.
func (s *Server) BusyTime() time.Duration { return time.Duration(s.busy.Load()) }

// Shed returns how many requests were shed.
func (s *Server) Shed() int { return int(s.shed.Load()) }

// Crossed returns how many datagrams or requests were of another service.
func (s *Server) Misdirected() int { return int(s.crossed.Load()) }

// Close stops the server at once.
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

// ServeUDP answers each datagram "service flow sequence" with the same and
// the server's name.
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

func (s *Server) udpLoop(conn *net.UDPConn) {
	b := make([]byte, fabricDatagram)
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
			s.crossed.Add(1)
			continue
		}
		if !flows[fields[1]] {
			flows[fields[1]] = true
			s.handled.Add(1)
		}
		_, _ = conn.WriteToUDPAddrPort(fmt.Appendf(b[:n], " %s", s.Name), from)
	}
}

// ServeTCP answers each line "service connection sequence" with the same and
// the server's name.
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
				go s.tcpLoop(c)
			}
		}
	}()
	return l.Addr().String(), nil
}

func (s *Server) tcpLoop(c net.Conn) {
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	defer c.Close()
	s.handled.Add(1)
	lines := bufio.NewScanner(c)
	for lines.Scan() {
		line := lines.Text()
		if !strings.HasPrefix(line, s.Service+" ") {
			s.crossed.Add(1)
			return
		}
		if _, err := fmt.Fprintf(c, "%s %s\n", line, s.Name); err != nil {
			return
		}
	}
}

// ServeHTTP answers /short/ID and /long/ID after a time, and runs
// registrations, POST /registrations, by their Idempotency-Key.
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
	began := time.Now()
	defer func() { s.busy.Add(int64(time.Since(began))) }()
	if r.Host != s.Service {
		s.crossed.Add(1)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.Method == http.MethodPost {
		s.Runs.Add(r.Header.Get("Idempotency-Key"))
	}
	took := s.ShortDuration
	if strings.HasPrefix(r.URL.Path, "/long/") {
		took = s.LongDuration
	}
	select {
	case <-time.After(took):
	case <-r.Context().Done():
		return
	}
	if r.Method == http.MethodPost {
		w.WriteHeader(http.StatusCreated)
	}
	_, _ = fmt.Fprintf(w, "%s %s %s %s", s.Service, r.URL.Path, body, s.Name)
}

// ListenHTTP serves HTTP at an address.
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
