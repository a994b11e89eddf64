package httplb

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/netip"
	"net/textproto"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/internal/event"
	"lagoonramp.org/lagoonramp/pkg/once"
	"lagoonramp.org/lagoonramp/pkg/pick"
	"lagoonramp.org/lagoonramp/pkg/slots"
)

// loneCluster is a Cluster with this host only.
type loneCluster struct{}

func (loneCluster) Self() uint64                  { return 1 }
func (loneCluster) Peers(time.Time) []once.Peer   { return []once.Peer{{ID: 1}} }
func (loneCluster) RecordsLost() bool             { return false }
func (loneCluster) Address(uint64) (string, bool) { return "", false }
func (loneCluster) Sign(*http.Request)            {}

// startService runs a service with the given servers and returns its base URL.
func startService(t *testing.T, config ServiceConfig, servers ...string) (string, *Service) {
	t.Helper()
	config.ID, config.Name, config.Hosts = 7, "desk", []uint64{1}
	for i, a := range servers {
		config.Servers = append(config.Servers, Server{ID: uint64(100 + i), Name: fmt.Sprint("s", i), Address: a, Slots: 2, AcceptsNewWork: true})
	}
	d := NewDeduplicator(loneCluster{}, 1)
	s := NewService(&config, Settings{Self: 1, Events: event.NewRing("h", "dc"), SendSlotMessage: func(slots.Message) {}, Deduplicator: d, Policy: pick.LeastLoaded{}})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.Accept(c.(*net.TCPConn), netip.MustParseAddrPort("192.0.2.7:1234"))
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.Drain(ctx)
	})
	return "http://" + l.Addr().String(), s
}

// startServer runs a server that handles requests with f and returns its address.
func startServer(t *testing.T, f http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(f)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// startRawServer runs a server that calls f on each connection after reading the
// header of a request. seen counts these requests.
func startRawServer(t *testing.T, f func(c net.Conn)) (address string, seen *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	seen = &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					seen.Add(1)
					f(c)
				}
			}()
		}
	}()
	return l.Addr().String(), seen
}

// closedAddress returns an address on which no server listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// writeString returns a handler for startRawServer that writes s.
func writeString(s string) func(c net.Conn) {
	return func(c net.Conn) { _, _ = io.WriteString(c, s) }
}

// TestFaultyServerOutcomes checks the status, the outcome and the number of tries
// for servers that shed, fail, or send incomplete or invalid answers.
func TestFaultyServerOutcomes(t *testing.T) {
	answer := "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	cases := []struct {
		name    string
		method  string
		server  func(c net.Conn)
		status  int
		outcome string
		// tries is the maximum number of times that the server gets the request.
		tries int64
	}{
		{"complete answer", "GET", writeString(answer), 200, "answered", 1},
		{"closes without an answer, idempotent", "GET", writeString(""), 504, "unknown", 3},
		{"closes without an answer, not idempotent", "POST", writeString(""), 504, "unknown", 1},
		{"invalid answer, not idempotent", "POST", writeString("nonsense\r\n\r\n"), 504, "unknown", 1},
		{"truncated header, not idempotent", "POST", writeString("HTTP/1.1 200 OK\r\nContent-Le"), 504, "unknown", 1},
		{"sheds", "POST", writeString("HTTP/1.1 503 Busy\r\nLagoonramp-Outcome: not-run\r\nContent-Length: 0\r\n\r\n"), 503, "not-run", 3},
		{"503 that may have run", "POST", writeString("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"), 503, "answered", 1},
		{"answers after the deadline", "POST", func(c net.Conn) { time.Sleep(time.Second); writeString(answer)(c) }, 504, "unknown", 1},
		{"answers twice", "GET", writeString(answer + answer), 200, "answered", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address, seen := startRawServer(t, c.server)
			base, _ := startService(t, ServiceConfig{HeaderTimeout: 500 * time.Millisecond}, address)
			req, err := http.NewRequest(c.method, base+"/x", strings.NewReader("body"))
			is.NoErr(err)
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			defer resp.Body.Close()
			is.Equal(resp.StatusCode, c.status)
			is.Equal(resp.Header.Get(OutcomeHeader), c.outcome)
			is.True(seen.Load() <= c.tries)
		})
	}
}

// TestTruncatedAnswerIsNotCompleted checks that the caller gets an error if the
// server closes the connection before the end of its answer.
func TestTruncatedAnswerIsNotCompleted(t *testing.T) {
	is := is.New(t)
	address, _ := startRawServer(t, writeString("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf"))
	base, _ := startService(t, ServiceConfig{}, address)
	resp, err := http.Get(base + "/x")
	if err != nil {
		return // The connection was reset before the header was relayed.
	}
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	is.True(err != nil)
}

func TestUnreachableServerIsNotRun(t *testing.T) {
	is := is.New(t)
	base, _ := startService(t, ServiceConfig{}, closedAddress(t))
	resp, err := http.Post(base+"/x", "text/plain", strings.NewReader("body"))
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, 503)
	is.Equal(resp.Header.Get(OutcomeHeader), "not-run")
	is.True(resp.Header.Get("Retry-After") != "")
}

func TestNotRunIsRetriedAtAnotherServer(t *testing.T) {
	is := is.New(t)
	good := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		_, _ = w.Write(b)
	})
	base, _ := startService(t, ServiceConfig{}, closedAddress(t), good)
	for range 4 {
		resp, err := http.Post(base+"/x", "text/plain", strings.NewReader("body"))
		is.NoErr(err)
		b, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		resp.Body.Close()
		is.Equal(string(b), "body") // The second server received the whole body.
	}
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	server := startServer(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	base, _ := startService(t, ServiceConfig{MaxBody: 10}, server)
	host := strings.TrimPrefix(base, "http://")
	cases := []struct{ name, request, status string }{
		{"oversize", "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n01234567890", "413"},
		{"oversize in chunks", "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n01234567890\r\n0\r\n\r\n", "413"},
		{"two lengths", "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400"},
		{"unknown encoding", "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, x\r\n\r\n0\r\n\r\n", "501"},
		{"space before the colon", "GET /x HTTP/1.1\r\nHost: a\r\nA : b\r\n\r\n", "400"},
		{"upgrade", "GET /x HTTP/1.1\r\nHost: a\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n", "501"},
		{"bad timeout", "GET /x HTTP/1.1\r\nHost: a\r\nLagoonramp-Timeout: soon\r\n\r\n", "400"},
		{"no host", "GET /x HTTP/1.1\r\n\r\n", "400"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", host)
			is.NoErr(err)
			defer conn.Close()
			_, err = io.WriteString(conn, c.request)
			is.NoErr(err)
			line, err := bufio.NewReader(conn).ReadString('\n')
			is.NoErr(err)
			is.Equal(strings.Fields(line)[1], c.status)
		})
	}
}

// TestAmbiguousLengthIsNormalized guards against request smuggling: a request
// with both Content-Length and Transfer-Encoding must reach the server with
// chunked framing only, without the request hidden in its body.
func TestAmbiguousLengthIsNormalized(t *testing.T) {
	is := is.New(t)
	got := make(chan string, 2)
	server := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		got <- fmt.Sprintf("%s %s %d", r.URL.Path, b, r.ContentLength)
	})
	base, _ := startService(t, ServiceConfig{}, server)
	conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 40\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\nX: y")
	is.NoErr(err)
	is.Equal(<-got, "/a  -1") // One request, with chunked framing only.
}

func TestHeadersTrailersAndInterimResponses(t *testing.T) {
	is := is.New(t)
	var seen http.Header
	server := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		seen = r.Header.Clone()
		w.Header().Set("Link", "</a>; rel=preload")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Set("Trailer", "Sum")
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		_, _ = io.WriteString(w, "body")
		w.Header().Set("Sum", "42")
	})
	base, _ := startService(t, ServiceConfig{}, server)
	hints := 0
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{
		Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
			if code == http.StatusEarlyHints && h.Get("Link") != "" {
				hints++
			}
			return nil
		}})
	req, err := http.NewRequestWithContext(ctx, "GET", base+"/x", nil)
	is.NoErr(err)
	req.Header.Set("Connection", "X-Mine")
	req.Header.Set("X-Mine", "1")
	req.Header.Set("X-Kept", "1")
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(hints, 1)
	is.Equal(resp.Trailer.Get("Sum"), "42")
	is.Equal(resp.Header.Get("X-Hop"), "")
	is.Equal(seen.Get("X-Mine"), "")
	is.Equal(seen.Get("X-Kept"), "1")
	is.Equal(seen.Get("X-Forwarded-For"), "192.0.2.7")
	left, err := time.ParseDuration(seen.Get(TimeoutHeader))
	is.NoErr(err)
	is.True(left > 0 && left <= defaultHeaderTimeout)
}

func TestCallerDisconnectCancelsServerRequest(t *testing.T) {
	is := is.New(t)
	cancelled := make(chan struct{})
	started := make(chan struct{})
	server := startServer(t, func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(cancelled)
	})
	base, _ := startService(t, ServiceConfig{}, server)
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, "GET", base+"/x", nil)
	is.NoErr(err)
	go func() {
		<-started
		cancel()
	}()
	_, err = http.DefaultClient.Do(req)
	is.True(errors.Is(err, context.Canceled))
	<-cancelled
}

// TestSlowCallerHoldsNoSlot guards against callers that do not read their answers
// and keep the slots of the server, so that other requests wait.
func TestSlowCallerHoldsNoSlot(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("x", 300<<10)
	server := startServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) })
	base, s := startService(t, ServiceConfig{}, server)
	for range 6 { // Three times the number of slots.
		conn, err := net.Dial("tcp", strings.TrimPrefix(base, "http://"))
		is.NoErr(err)
		defer conn.Close()
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		_, err = io.WriteString(conn, "GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
		is.NoErr(err)
	}
	resp, err := http.Get(base + "/y")
	is.NoErr(err)
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.Equal(len(got), len(body))
	_, waiting, _, _ := s.Dispatcher().Stats()
	is.Equal(waiting, 0)
}

// postWithKey posts with an idempotency key and returns the status, the outcome
// and the body of the answer.
func postWithKey(t *testing.T, base, path, key string) (int, string, string) {
	t.Helper()
	req, err := http.NewRequest("POST", base+path, strings.NewReader("entry"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(KeyHeader, key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header.Get(OutcomeHeader), string(b)
}

func TestRepeatedKeyRunsOnce(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	server := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(50 * time.Millisecond)
		w.WriteHeader(http.StatusCreated)
		_, _ = fmt.Fprintf(w, "run %d", runs.Add(1))
	})
	base, _ := startService(t, ServiceConfig{}, server)
	var wg sync.WaitGroup
	for range 5 { // Concurrent repeats join the first request.
		wg.Add(1)
		go func() {
			defer wg.Done()
			status, outcome, body := postWithKey(t, base, "/entries", "k1")
			if status != 201 || outcome != "answered" || body != "run 1" {
				t.Error(status, outcome, body)
			}
		}()
	}
	wg.Wait()
	_, outcome, body := postWithKey(t, base, "/entries", "k1")
	is.Equal(outcome, "answered")
	is.Equal(body, "run 1")
	is.Equal(runs.Load(), int64(1))
	status, outcome, _ := postWithKey(t, base, "/other", "k1")
	is.Equal(status, 422)
	is.Equal(outcome, "not-run")
}

func TestUnansweredRequestIsNotRunAgain(t *testing.T) {
	is := is.New(t)
	address, seen := startRawServer(t, writeString(""))
	base, _ := startService(t, ServiceConfig{}, address)
	for range 3 {
		status, outcome, _ := postWithKey(t, base, "/entries", "k2")
		is.Equal(status, 504)
		is.Equal(outcome, "unknown")
	}
	is.Equal(seen.Load(), int64(1))
}

func TestNotRunRequestMayReuseItsKey(t *testing.T) {
	is := is.New(t)
	var shed atomic.Bool
	shed.Store(true)
	server := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		if shed.Load() {
			w.Header().Set(OutcomeHeader, "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	base, _ := startService(t, ServiceConfig{}, server)
	_, outcome, _ := postWithKey(t, base, "/entries", "k3")
	is.Equal(outcome, "not-run")
	shed.Store(false)
	status, outcome, _ := postWithKey(t, base, "/entries", "k3")
	is.Equal(status, 200)
	is.Equal(outcome, "answered")
}

// TestRetryAfterShedSendsWholeBody guards against a retry that sends a body with
// bytes missing. The server sheds requests before it reads their bodies, so that
// the transport still reads the body for a try that has ended.
func TestRetryAfterShedSendsWholeBody(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("0123456789abcdef", 1<<11)
	for range 20 {
		var tries atomic.Int64
		got := make(chan string, 1)
		server := startServer(t, func(w http.ResponseWriter, r *http.Request) {
			if tries.Add(1) < maxTries {
				answer := http.NewResponseController(w)
				_ = answer.EnableFullDuplex()
				w.Header().Set(OutcomeHeader, "not-run")
				w.WriteHeader(http.StatusServiceUnavailable)
				_ = answer.Flush()
				_, _ = io.Copy(io.Discard, r.Body) // Closing with unread bytes would reset the connection.
				return
			}
			b, _ := io.ReadAll(r.Body)
			got <- string(b)
		})
		base, _ := startService(t, ServiceConfig{}, server)
		resp, err := http.Post(base+"/entries", "text/plain", strings.NewReader(body))
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(resp.StatusCode, 200)
		is.Equal(resp.Header.Get(OutcomeHeader), "answered")
		is.True(<-got == body)
	}
}

func TestDrainWaitsForRequests(t *testing.T) {
	is := is.New(t)
	started := make(chan struct{})
	server := startServer(t, func(w http.ResponseWriter, _ *http.Request) {
		close(started)
		time.Sleep(200 * time.Millisecond)
		_, _ = io.WriteString(w, "whole")
	})
	base, s := startService(t, ServiceConfig{}, server)
	done := make(chan string, 1)
	go func() {
		resp, err := http.Get(base + "/x")
		if err != nil {
			done <- err.Error()
			return
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		done <- string(b)
	}()
	<-started
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	is.NoErr(s.Drain(ctx))
	is.Equal(<-done, "whole")
}

func BenchmarkForward(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }))
	defer server.Close()
	config := ServiceConfig{ID: 7, Name: "desk", Hosts: []uint64{1}, Servers: []Server{{ID: 5, Name: "s", Address: server.Listener.Addr().String(), Slots: 64, AcceptsNewWork: true}}}
	s := NewService(&config, Settings{Self: 1, Events: event.NewRing("h", "dc"), SendSlotMessage: func(slots.Message) {}, Deduplicator: NewDeduplicator(loneCluster{}, 1), Policy: pick.LeastLoaded{}})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.Accept(c.(*net.TCPConn), netip.MustParseAddrPort("192.0.2.7:1234"))
		}
	}()
	for name, base := range map[string]string{"direct": server.URL, "forwarded": "http://" + l.Addr().String()} {
		b.Run(name, func(b *testing.B) {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
			var mu sync.Mutex
			var times []time.Duration
			b.RunParallel(func(pb *testing.PB) {
				var own []time.Duration
				for pb.Next() {
					began := time.Now()
					resp, err := client.Get(base + "/x")
					if err != nil {
						b.Error(err)
						return
					}
					_, _ = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
					own = append(own, time.Since(began))
				}
				mu.Lock()
				times = append(times, own...)
				mu.Unlock()
			})
			reportPercentiles(b, times)
		})
	}
}
