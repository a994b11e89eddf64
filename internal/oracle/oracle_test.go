package oracle

import (
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/pkg/conf"
)

func ms(n int) conf.Duration { return conf.Duration(time.Duration(n) * time.Millisecond) }

// unloadedDay returns a day without queueing: 10 requests per second of 50 ms each
// for ten slots.
func unloadedDay() *Day {
	return &Day{
		Name: "calm", NetworkDelay: ms(10), Services: []Service{{Name: "desk", Slots: 10}},
		Classes: []Class{{
			Name: "view", Service: "desk", Weight: 1, ServiceTime: ServiceTime{Mean: ms(50)},
			Objective: ms(100), Timeout: ms(1000), Worth: 1, LateWorth: 0.25,
		}},
		Load:    []Span{{From: 0, To: ms(2000), Count: 20}, {From: ms(2000), To: ms(4000), Count: 20}},
		Weights: Weights{Day: 0.5, WorstWindows: 0.25, WorstClass: 0.25},
	}
}

// runSeeded simulates a day with a fixed seed.
func runSeeded(d *Day) Result { return Run(d, rand.New(rand.NewPCG(1, 1))) }

// equalWorth asserts that two worths are equal up to rounding errors.
func equalWorth(is *is.I, got, want float64) {
	is.Helper()
	if math.Abs(got-want) > 1e-9 {
		is.Equal(got, want)
	}
}

func TestDayRatio(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(d *Day)
		day    float64
	}{
		{"answers without queueing earn everything", func(*Day) {}, 1},
		{"late answers earn less", func(d *Day) { d.Classes[0].ServiceTime.Mean = ms(91) }, 0.25},
		{"the network delay counts towards the objective", func(d *Day) { d.NetworkDelay = ms(51) }, 0.25},
		{"answers after the timeout earn nothing", func(d *Day) { d.Classes[0].ServiceTime.Mean = ms(991) }, 0},
		{"an outage of the whole day", func(d *Day) { d.Outages = []Span{{To: ms(9000)}} }, 0},
		{"an outage of half the day", func(d *Day) { d.Outages = []Span{{To: ms(2000)}}; d.Classes[0].Timeout = ms(100) }, 0.5},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := unloadedDay()
			tt.change(d)
			equalWorth(is, runSeeded(d).Day, tt.day)
		})
	}
}

func TestWorthIsWeightedSumLessDeduction(t *testing.T) {
	is := is.New(t)
	d := unloadedDay()
	d.Deduction = 0.125
	d.Outages = []Span{{To: ms(2000)}}
	d.Classes[0].Timeout = ms(100)
	r := runSeeded(d)
	equalWorth(is, r.WorstWindows, 0.5)
	equalWorth(is, r.WorstClass, 0.5)
	equalWorth(is, r.Worth, 0.5-0.125)
}

// TestQueueingLowersWorthButNotBound sends ten requests at once to a single slot.
// Two of them meet their objective, the others are late. The bound assumes a slot
// for each request, so that it must not change.
func TestQueueingLowersWorthButNotBound(t *testing.T) {
	is := is.New(t)
	d := unloadedDay()
	d.Services[0].Slots = 1
	d.Classes[0].ServiceTime.Mean = ms(45)
	d.Load = []Span{{From: 0, To: 1, Count: 10}}
	r := runSeeded(d)
	equalWorth(is, r.Day, (2+8*0.25)/10)
	equalWorth(is, r.Bound, 1)
}

// TestScheduleBeatsFirstComeFirstServed guards against an order of requests that
// is no better under overload than first come, first served.
func TestScheduleBeatsFirstComeFirstServed(t *testing.T) {
	is := is.New(t)
	d := unloadedDay()
	d.Services[0].Slots = 2
	d.Load = []Span{{From: 0, To: ms(4000), Count: 200}} // Load for 2.5 slots.
	requests := d.drawRequests(rand.New(rand.NewPCG(1, 1)))
	busyUntil := make([]time.Duration, 2)
	var fifo worthSum
	for _, q := range requests {
		at := 0
		if busyUntil[1] < busyUntil[0] {
			at = 1
		}
		busyUntil[at] = max(busyUntil[at], q.start) + q.serviceTime
		q.earn(busyUntil[at])
		fifo.add(q)
	}
	is.True(runSeeded(d).Day > 2*fifo.ratio())
}

func TestServiceTimeDistribution(t *testing.T) {
	is := is.New(t)
	serviceTime := ServiceTime{Mean: ms(47), LogStdDev: 0.5, TailRatio: 0.03, TailFactor: 7}
	rng := rand.New(rand.NewPCG(2, 2))
	const draws = 200_000
	sum := time.Duration(0)
	for range draws {
		sum += serviceTime.draw(rng)
	}
	is.True(math.Abs(float64(sum)/draws/float64(serviceTime.Mean)-1) < 0.02)
	serviceTime.Max = ms(10)
	is.True(serviceTime.draw(rng) <= time.Duration(serviceTime.Max))
}

func TestInvalidDays(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(d *Day)
		want   string
	}{
		{"no slots", func(d *Day) { d.Services[0].Slots = 0 }, "slots must be at least 1"},
		{"unknown service", func(d *Day) { d.Classes[0].Service = "x" }, "service \"x\" is not defined"},
		{"no work", func(d *Day) { d.Classes[0].ServiceTime.Mean = 0 }, "work.mean"},
		{"no worth", func(d *Day) { d.Classes[0].Worth = 0 }, "worth"},
		{"no shares", func(d *Day) { d.Classes[0].Weight = 0 }, "shares"},
		{"overlapping load", func(d *Day) { d.Load[1].From = ms(1000) }, "span 1"},
		{"no load", func(d *Day) { d.Load = nil }, "at least one span is required"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := unloadedDay()
			tt.change(d)
			err := d.validate()
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), tt.want))
		})
	}
	t.Run("unknown JSON field", func(t *testing.T) {
		is := is.New(t)
		_, err := Read(strings.NewReader(`{"nam": "x"}`))
		is.True(err != nil)
	})
}

// TestDocumentedDays checks the days whose bounds docs/RESULTS.md lists.
func TestDocumentedDays(t *testing.T) {
	is := is.New(t)
	files, err := filepath.Glob("../../docs/oracle/*.json")
	is.NoErr(err)
	is.Equal(len(files), 12)
	for _, file := range files {
		f, err := os.Open(file)
		is.NoErr(err)
		d, err := Read(f)
		is.NoErr(err)
		is.NoErr(f.Close())
		r := runSeeded(d)
		is.True(r.Worth > 0.9 && r.Worth <= r.Bound+1e-3 && r.Bound < 1)
	}
}
