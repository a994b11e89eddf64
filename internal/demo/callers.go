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
	// flowPause is the mean pause between two datagrams of a flow.
	flowPause = 100 * time.Millisecond
	// flowSilence is how long a flow may stay unanswered before it counts as
	// broken.
	flowSilence = 10 * time.Second
	// flowLife is the mean time that a flow lasts.
	flowLife = 12 * time.Second
	// requestTimeout is what callers give a request.
	requestTimeout = 5 * time.Second
	// registrationTries bounds the repeats of a registration.
	registrationTries = 8
	maxMs             = 60_000
)

// Callers are the callers of the demo and what they count.
type Callers struct {
	mu sync.Mutex
	// phase is planned or crash; a break counts for the phase it falls in.
	crash       bool
	report      Report
	short, long *hdrhistogram.Histogram
	open        int
	group       sync.WaitGroup
	runs        *fakes.RunCounter
	serial      int
	start       time.Time
}

// NewCallers returns callers that check registrations against runs, which may
// be nil if the servers cannot be asked.
func NewCallers(runs *fakes.RunCounter) *Callers {
	return &Callers{runs: runs, start: time.Now(), short: hdrhistogram.New(1, maxMs*10, 3), long: hdrhistogram.New(1, maxMs*10, 3)}
}

// Crash makes later breaks count as caused by a crash. It returns how many
// flows and connections are open.
func (c *Callers) BeginCrashPhase() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crash = true
	return c.open
}

// Wait waits for the callers to end.
func (c *Callers) Wait() { c.group.Wait() }

// Report returns what was counted.
func (c *Callers) Report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.report
	ms := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) / 10 }
	r.ShortP50Ms, r.ShortP99Ms = ms(c.short, 50), ms(c.short, 99)
	r.LongP50Ms, r.LongP99Ms = ms(c.long, 50), ms(c.long, 99)
	return r
}

func (c *Callers) count(f func(r *Report)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(&c.report)
}

func (c *Callers) began() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Flows++
	c.open++
	c.serial++
	return c.serial
}

// ended notes the end of a flow; broken says what broke it, if anything did.
func (c *Callers) ended(broken string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
	if broken == "" {
		return
	}
	c.report.Breaks = append(c.report.Breaks, fmt.Sprintf("%.1f s: %s", time.Since(c.start).Seconds(), broken))
	if c.crash {
		c.report.BrokenFlowsCrash++
	} else {
		c.report.BrokenFlowsPlanned++
	}
}

// spawn runs count callers that begin one flow after the other.
func (c *Callers) spawn(ctx context.Context, count int, flow func(ctx context.Context)) {
	for range count {
		c.group.Add(1)
		go func() {
			defer c.group.Done()
			sleep(ctx, time.Duration(rand.Int64N(int64(flowPause))))
			for ctx.Err() == nil {
				flow(ctx)
			}
		}()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// life returns how long a flow lasts: most are short, some long.
func life() time.Duration {
	return time.Duration(rand.ExpFloat64() * float64(flowLife))
}

// Datagrams keeps that many flows of datagrams to a service open.
func (c *Callers) StartDatagramFlows(ctx context.Context, count int, service, address string) {
	c.spawn(ctx, count, func(ctx context.Context) { c.datagramFlow(ctx, service, address) })
}

// dialFrom opens a datagram socket with a source address of its own: to a
// balancer, a new flow from an old flow's address and port is the old flow.
func dialFrom(id int, address string) (net.Conn, error) {
	local := net.IPv4(127, byte(1+id>>16), byte(id>>8), byte(id))
	d := net.Dialer{LocalAddr: &net.UDPAddr{IP: local}}
	return d.Dial("udp", address)
}

// datagramFlow sends datagrams and checks that all answers are its own and
// come from one server.
func (c *Callers) datagramFlow(ctx context.Context, service, address string) {
	id := c.began()
	conn, err := dialFrom(id, address)
	if err != nil {
		c.ended("a caller could not open a socket: " + err.Error())
		sleep(ctx, flowPause)
		return
	}
	defer conn.Close()
	server := ""
	broken := ""
	answered := time.Now()
	end := answered.Add(life())
	b := make([]byte, 256)
	for seq := 0; ctx.Err() == nil && time.Now().Before(end) && broken == ""; seq++ {
		_, _ = fmt.Fprintf(conn, "%s %d %d", service, id, seq)
		wait := time.Now().Add(flowPause/2 + time.Duration(rand.Int64N(int64(flowPause))))
		_ = conn.SetReadDeadline(wait)
		for {
			n, err := conn.Read(b)
			if err != nil {
				if !time.Now().Before(wait) {
					break
				}
				sleep(ctx, time.Until(wait)) // An ICMP error.
				break
			}
			f := strings.Fields(string(b[:n]))
			if len(f) != 4 || f[0] != service || f[1] != fmt.Sprint(id) {
				c.count(func(r *Report) { r.WrongAnswers++ })
				continue
			}
			if server == "" {
				server = f[3]
			}
			if f[3] != server {
				broken = "a datagram flow went from " + server + " to " + f[3]
			}
			answered = time.Now()
		}
		if time.Since(answered) > flowSilence {
			broken = "a datagram flow to " + server + " fell silent"
		}
	}
	c.ended(broken)
}

// Connections keeps that many connections to a service open.
func (c *Callers) StartConnections(ctx context.Context, count int, service, address string) {
	c.spawn(ctx, count, func(ctx context.Context) { c.connection(ctx, service, address) })
}

// connection sends lines and checks the answers.
func (c *Callers) connection(ctx context.Context, service, address string) {
	conn, err := net.DialTimeout("tcp", address, requestTimeout)
	if err != nil {
		sleep(ctx, flowPause)
		return
	}
	defer conn.Close()
	id := c.began()
	lines := bufio.NewScanner(conn)
	broken := ""
	end := time.Now().Add(life())
	for seq := 0; ctx.Err() == nil && time.Now().Before(end) && broken == ""; seq++ {
		line := fmt.Sprintf("%s %d %d", service, id, seq)
		_ = conn.SetDeadline(time.Now().Add(flowSilence))
		if _, err := fmt.Fprintln(conn, line); err != nil || !lines.Scan() {
			broken = fmt.Sprintf("a connection ended: %v %v", err, lines.Err())
			break
		}
		if !strings.HasPrefix(lines.Text(), line+" ") {
			c.count(func(r *Report) { r.WrongAnswers++ })
		}
		sleep(ctx, flowPause/2+time.Duration(rand.Int64N(int64(flowPause))))
	}
	c.ended(broken)
}

// Requests lets count callers make requests with pauses; one in thirty is
// long, one in ten a registration.
func (c *Callers) StartRequests(ctx context.Context, count int, service, address string, pause time.Duration) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: count}}
	c.spawn(ctx, count, func(ctx context.Context) {
		c.mu.Lock()
		c.serial++
		id := c.serial
		c.mu.Unlock()
		switch {
		case id%30 == 0:
			c.request(client, service, address, fmt.Sprintf("/long/%d", id), c.long)
		case id%10 == 1:
			c.register(client, service, address, id)
		default:
			c.request(client, service, address, fmt.Sprintf("/short/%d", id), c.short)
		}
		sleep(ctx, time.Duration(rand.ExpFloat64()*float64(pause)))
	})
}

// request makes one request and checks that the answer is whole and its own.
func (c *Callers) request(client *http.Client, service, address, path string, h *hdrhistogram.Histogram) {
	began := time.Now()
	outcome, body := send(client, http.MethodGet, service, address, path, "", "")
	c.count(func(r *Report) {
		r.Requests++
		c.tally(r, outcome, body)
		if outcome != "answered" {
			return
		}
		_ = h.RecordValue(time.Since(began).Microseconds() / 100)
		if !strings.HasPrefix(body, service+" "+path+" ") {
			r.WrongAnswers++
		}
	})
}

func (c *Callers) tally(r *Report, outcome, why string) {
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
		r.UnknownCauses[strings.TrimSpace(why)]++
	}
}

// register submits a registration until it is answered, with one key.
func (c *Callers) register(client *http.Client, service, address string, id int) {
	key := fmt.Sprintf("entry-%d", id)
	doubt := false
	outcome, body := "", ""
	for range registrationTries {
		outcome, body = send(client, http.MethodPost, service, address, "/registrations", key, key)
		if outcome == "not-run" && !doubt && c.runs != nil && c.runs.Count(key) > 0 {
			c.count(func(r *Report) { r.RanThoughNotRun++ })
		}
		if outcome == "answered" {
			if !strings.HasPrefix(body, service+" /registrations "+key+" ") {
				c.count(func(r *Report) { r.WrongAnswers++ })
			}
			break
		}
		doubt = doubt || outcome != "not-run"
		time.Sleep(flowPause)
	}
	c.count(func(r *Report) {
		r.Requests++
		r.Registrations++
		c.tally(r, outcome, body)
	})
	if c.runs == nil {
		return
	}
	runs := c.runs.Count(key)
	c.count(func(r *Report) {
		if outcome == "answered" && runs == 0 {
			r.LostRegistrations++
		}
		if runs > 1 {
			r.DoubledRegistrations++
		}
	})
}

// send makes one request and returns its outcome as the caller sees it.
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

// cause returns the innermost message of an error.
func cause(err error) string {
	for next := errors.Unwrap(err); next != nil; next = errors.Unwrap(err) {
		err = next
	}
	return err.Error()
}
