package demo

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lagoonramp.org/lagoonramp/internal/fakes"
)

const (
	// sendInterval is the mean interval between the messages of a flow, the delay
	// before a failed dial or registration is retried, and the longest delay
	// before a caller starts.
	sendInterval = 100 * time.Millisecond
	// unansweredTimeout is how long a flow may stay without an answer before it
	// counts as broken.
	unansweredTimeout = 10 * time.Second
	// meanFlowLifetime is the mean lifetime of a flow or connection.
	meanFlowLifetime = 12 * time.Second
	// requestTimeout bounds the time that a request may take. Callers give up a
	// second later. It also bounds the time to open a connection.
	requestTimeout = 5 * time.Second
	// maxRegistrationAttempts bounds the attempts to submit a registration.
	maxRegistrationAttempts = 8
	// maxLatencyMs is the longest latency that the histograms record. Their unit
	// is 0.1 ms.
	maxLatencyMs = 60_000
)

// Callers generates load on services and counts the outcomes.
type Callers struct {
	mu sync.Mutex
	// crashPhase is set once a host has been killed. Flows that break before
	// then count as broken by planned change, later ones as broken by the crash.
	crashPhase                bool
	report                    Report
	shortLatency, longLatency *hdrhistogram.Histogram
	openFlows                 int
	wg                        sync.WaitGroup
	runs                      *fakes.RunCounter
	// lastID is the last ID that a flow or request got.
	lastID    int
	startTime time.Time
}

// NewCallers returns Callers that check registrations against runs, the
// servers' counts. Runs may be nil if the counts are not available.
func NewCallers(runs *fakes.RunCounter) *Callers {
	return &Callers{runs: runs, startTime: time.Now(), shortLatency: hdrhistogram.New(1, maxLatencyMs*10, 3), longLatency: hdrhistogram.New(1, maxLatencyMs*10, 3)}
}

// BeginCrashPhase makes flows that break from now on count as broken by a
// crash. It returns the number of open flows and connections.
func (c *Callers) BeginCrashPhase() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashPhase = true
	return c.openFlows
}

// Wait waits until all callers have stopped.
func (c *Callers) Wait() { c.wg.Wait() }

// Report returns the counts and the latency percentiles so far.
func (c *Callers) Report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.report
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 10 }
	r.ShortP50Ms, r.ShortP99Ms = ms(c.shortLatency, 50), ms(c.shortLatency, 99)
	r.LongP50Ms, r.LongP99Ms = ms(c.longLatency, 50), ms(c.longLatency, 99)
	return r
}

// update calls f with the report while the lock is held.
func (c *Callers) update(f func(r *Report)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.report)
}

// beginFlow counts a new flow and returns its ID.
func (c *Callers) beginFlow() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Flows++
	c.openFlows++
	c.lastID++
	return c.lastID
}

// endFlow counts the end of a flow. An empty breakReason means that the flow
// ended normally.
func (c *Callers) endFlow(breakReason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openFlows--
	if breakReason == "" {
		return
	}
	c.report.Breaks = append(c.report.Breaks, fmt.Sprintf("%.1f s: %s", time.Since(c.startTime).Seconds(), breakReason))
	if c.crashPhase {
		c.report.BrokenFlowsCrash++
	} else {
		c.report.BrokenFlowsPlanned++
	}
}

// spawn starts count goroutines that call flow repeatedly until ctx is done.
// Each goroutine starts after a random delay of at most sendInterval.
func (c *Callers) spawn(ctx context.Context, count int, flow func(ctx context.Context)) {
	for range count {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			sleep(ctx, time.Duration(rand.Int64N(int64(sendInterval))))
			for ctx.Err() == nil {
				flow(ctx)
			}
		}()
	}
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// randomLifetime returns an exponentially distributed lifetime for a flow, so
// that most flows are short and some are long.
func randomLifetime() time.Duration {
	return time.Duration(rand.ExpFloat64() * float64(meanFlowLifetime))
}

// StartDatagramFlows starts callers that keep count datagram flows to a service
// open until ctx is done.
func (c *Callers) StartDatagramFlows(ctx context.Context, count int, service, address string) {
	c.spawn(ctx, count, func(ctx context.Context) { c.datagramFlow(ctx, service, address) })
}

// dialFrom opens a datagram socket whose source IP address is derived from the
// flow's ID. To a load balancer, datagrams from the address and port of an
// earlier flow belong to that flow.
func dialFrom(id int, address string) (net.Conn, error) {
	local := net.IPv4(127, byte(1+id>>16), byte(id>>8), byte(id))
	d := net.Dialer{LocalAddr: &net.UDPAddr{IP: local}}
	return d.Dial("udp", address)
}

// datagramFlow sends datagrams and checks that all answers belong to this flow
// and come from the same server.
func (c *Callers) datagramFlow(ctx context.Context, service, address string) {
	id := c.beginFlow()
	conn, err := dialFrom(id, address)
	if err != nil {
		c.endFlow("a caller could not open a socket: " + err.Error())
		sleep(ctx, sendInterval)
		return
	}
	defer conn.Close()
	server := ""
	breakReason := ""
	lastAnswer := time.Now()
	end := lastAnswer.Add(randomLifetime())
	b := make([]byte, 256)
	for seq := 0; ctx.Err() == nil && time.Now().Before(end) && breakReason == ""; seq++ {
		_, _ = fmt.Fprintf(conn, "%s %d %d", service, id, seq)
		nextSend := time.Now().Add(sendInterval/2 + time.Duration(rand.Int64N(int64(sendInterval))))
		_ = conn.SetReadDeadline(nextSend)
		for {
			n, err := conn.Read(b)
			if err != nil {
				if !time.Now().Before(nextSend) {
					break
				}
				sleep(ctx, time.Until(nextSend)) // An ICMP error made the read fail early.
				break
			}
			fields := strings.Fields(string(b[:n]))
			if len(fields) != 4 || fields[0] != service || fields[1] != fmt.Sprint(id) {
				c.update(func(r *Report) { r.WrongAnswers++ })
				continue
			}
			if server == "" {
				server = fields[3]
			}
			if fields[3] != server {
				breakReason = "a datagram flow went from " + server + " to " + fields[3]
			}
			lastAnswer = time.Now()
		}
		if time.Since(lastAnswer) > unansweredTimeout {
			breakReason = "a datagram flow to " + server + " fell silent"
		}
	}
	c.endFlow(breakReason)
}

// StartConnections starts callers that keep count connections to a service open
// until ctx is done.
func (c *Callers) StartConnections(ctx context.Context, count int, service, address string) {
	c.spawn(ctx, count, func(ctx context.Context) { c.connection(ctx, service, address) })
}

// connection sends lines on one connection and checks the answers.
func (c *Callers) connection(ctx context.Context, service, address string) {
	conn, err := net.DialTimeout("tcp", address, requestTimeout)
	if err != nil {
		sleep(ctx, sendInterval)
		return
	}
	defer conn.Close()
	id := c.beginFlow()
	lines := bufio.NewScanner(conn)
	breakReason := ""
	end := time.Now().Add(randomLifetime())
	for seq := 0; ctx.Err() == nil && time.Now().Before(end) && breakReason == ""; seq++ {
		line := fmt.Sprintf("%s %d %d", service, id, seq)
		_ = conn.SetDeadline(time.Now().Add(unansweredTimeout))
		if _, err := fmt.Fprintln(conn, line); err != nil || !lines.Scan() {
			breakReason = fmt.Sprintf("a connection ended: %v %v", err, lines.Err())
			break
		}
		if !strings.HasPrefix(lines.Text(), line+" ") {
			c.update(func(r *Report) { r.WrongAnswers++ })
		}
		sleep(ctx, sendInterval/2+time.Duration(rand.Int64N(int64(sendInterval))))
	}
	c.endFlow(breakReason)
}

// StartRequests starts count callers that send requests to a service, with
// pauses of the given mean between them, until ctx is done. One request in
// thirty is long, and one in ten is a registration.
func (c *Callers) StartRequests(ctx context.Context, count int, service, address string, pause time.Duration) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: count}}
	c.spawn(ctx, count, func(ctx context.Context) {
		c.mu.Lock()
		c.lastID++
		id := c.lastID
		c.mu.Unlock()
		switch {
		case id%30 == 0:
			c.request(client, service, address, fmt.Sprintf("/long/%d", id), c.longLatency)
		case id%10 == 1:
			c.register(client, service, address, id)
		default:
			c.request(client, service, address, fmt.Sprintf("/short/%d", id), c.shortLatency)
		}
		sleep(ctx, time.Duration(rand.ExpFloat64()*float64(pause)))
	})
}

// request sends one request and checks that the answer belongs to it. It
// records the latency of an answered request in h.
func (c *Callers) request(client *http.Client, service, address, path string, h *hdrhistogram.Histogram) {
	start := time.Now()
	outcome, body := send(client, http.MethodGet, service, address, path, "", "")
	c.update(func(r *Report) {
		r.Requests++
		c.countOutcome(r, outcome, body)
		if outcome != "answered" {
			return
		}
		_ = h.RecordValue(time.Since(start).Microseconds() / 100)
		if !strings.HasPrefix(body, service+" "+path+" ") {
			r.WrongAnswers++
		}
	})
}

// countOutcome counts the outcome of a request in r. The detail of an unknown
// outcome is its cause.
func (c *Callers) countOutcome(r *Report, outcome, detail string) {
	switch outcome {
	case "answered":
		r.Answered++
	case "not-run":
		r.NotRun++
	default:
		r.Unknown++
		if r.UnknownCauses == nil {
			r.UnknownCauses = map[string]int{}
		}
		r.UnknownCauses[strings.TrimSpace(detail)]++
	}
}

// register submits a registration until it is answered, with the same
// idempotency key in each attempt, and checks how often the servers ran it.
func (c *Callers) register(client *http.Client, service, address string, id int) {
	key := fmt.Sprintf("entry-%d", id)
	mayHaveRun := false
	outcome, body := "", ""
	for range maxRegistrationAttempts {
		outcome, body = send(client, http.MethodPost, service, address, "/registrations", key, key)
		if outcome == "not-run" && !mayHaveRun && c.runs != nil && c.runs.Count(key) > 0 {
			c.update(func(r *Report) { r.RanThoughNotRun++ })
		}
		if outcome == "answered" {
			if !strings.HasPrefix(body, service+" /registrations "+key+" ") {
				c.update(func(r *Report) { r.WrongAnswers++ })
			}
			break
		}
		mayHaveRun = mayHaveRun || outcome != "not-run"
		time.Sleep(sendInterval)
	}
	c.update(func(r *Report) {
		r.Requests++
		r.Registrations++
		c.countOutcome(r, outcome, body)
	})
	if c.runs == nil {
		return
	}
	runs := c.runs.Count(key)
	c.update(func(r *Report) {
		if outcome == "answered" && runs == 0 {
			r.LostRegistrations++
		}
		if runs > 1 {
			r.DoubledRegistrations++
		}
	})
}

// send sends one request and returns its outcome, and the body of the answer or
// the cause of an unknown outcome.
func send(client *http.Client, method, service, address, path, key, body string) (outcome, answer string) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return "unknown", ""
	}
	req.Host = service
	req.Header.Set("Lagoonramp-Timeout", requestTimeout.String())
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return "unknown", cause(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return "unknown", cause(err)
	}
	if o := resp.Header.Get("Lagoonramp-Outcome"); o != "" {
		return o, string(data)
	}
	return "unknown", "no outcome was told"
}

// cause returns the message of the innermost wrapped error.
func cause(err error) string {
	for next := errors.Unwrap(err); next != nil; next = errors.Unwrap(err) {
		err = next
	}
	return err.Error()
}
