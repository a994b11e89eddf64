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

// calm returns a day on which nothing has to wait: 10 requests a second of
// 50 ms each before ten slots.
func calm() *Day {
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

func play(d *Day) Result { return Run(d, rand.New(rand.NewPCG(1, 1))) }

// near asserts a part of the worth.
func near(is *is.I, got, want float64) {
	is.Helper()
	if math.Abs(got-want) > 1e-9 {
		is.Equal(got, want)
	}
}

func TestWhatADayCanEarn(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(d *Day)
		day    float64
	}{
		{"all of a calm day", func(*Day) {}, 1},
		{"late answers earn less", func(d *Day) { d.Classes[0].ServiceTime.Mean = ms(91) }, 0.25},
		{"the way counts", func(d *Day) { d.NetworkDelay = ms(51) }, 0.25},
		{"answers after the timeout earn nothing", func(d *Day) { d.Classes[0].ServiceTime.Mean = ms(991) }, 0},
		{"an outage of all the day", func(d *Day) { d.Outages = []Span{{To: ms(9000)}} }, 0},
		{"an outage of a half", func(d *Day) { d.Outages = []Span{{To: ms(2000)}}; d.Classes[0].Timeout = ms(100) }, 0.5},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := calm()
			tt.change(d)
			near(is, play(d).Day, tt.day)
		})
	}
}

func TestPartsOfTheWorth(t *testing.T) {
	is := is.New(t)
	d := calm()
	d.Deduction = 0.125
	d.Outages = []Span{{To: ms(2000)}}
	d.Classes[0].Timeout = ms(100)
	r := play(d)
	near(is, r.WorstWindows, 0.5)
	near(is, r.WorstClass, 0.5)
	near(is, r.Worth, 0.5-0.125)
}

// TestOnlyAQueueCostsWorth gives ten requests at once one slot: two of them can
// be in time, the others are late.
func TestOnlyAQueueCostsWorth(t *testing.T) {
	is := is.New(t)
	d := calm()
	d.Services[0].Slots = 1
	d.Classes[0].ServiceTime.Mean = ms(45)
	d.Load = []Span{{From: 0, To: 1, Count: 10}}
	r := play(d)
	near(is, r.Day, (2+8*0.25)/10)
	near(is, r.Bound, 1)
}

// TestOrderIsBetterThanFirstCome compares the order with first come, first
// served, in an overload.
func TestOrderIsBetterThanFirstCome(t *testing.T) {
	is := is.New(t)
	d := calm()
	d.Services[0].Slots = 2
	d.Load = []Span{{From: 0, To: ms(4000), Count: 200}} // 2.5 slots' work.
	requests := d.requests(rand.New(rand.NewPCG(1, 1)))
	busyUntil := make([]time.Duration, 2)
	var first share
	for _, q := range requests {
		at := 0
		if busyUntil[1] < busyUntil[0] {
			at = 1
		}
		busyUntil[at] = max(busyUntil[at], q.start) + q.work
		q.earn(busyUntil[at])
		first.add(q)
	}
	is.True(play(d).Day > 2*first.part())
}

func TestWorksHaveTheirMean(t *testing.T) {
	is := is.New(t)
	w := ServiceTime{Mean: ms(47), LogStdDev: 0.5, TailRatio: 0.03, TailFactor: 7}
	rng := rand.New(rand.NewPCG(2, 2))
	const draws = 200_000
	sum := time.Duration(0)
	for range draws {
		sum += w.draw(rng)
	}
	is.True(math.Abs(float64(sum)/draws/float64(w.Mean)-1) < 0.02)
	w.Max = ms(10)
	is.True(w.draw(rng) <= time.Duration(w.Max))
}

func TestFaultsOfADay(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(d *Day)
		want   string
	}{
		{"no slots", func(d *Day) { d.Services[0].Slots = 0 }, "slots must be at least 1"},
		{"unknown service", func(d *Day) { d.Classes[0].Service = "x" }, "not among the services"},
		{"no work", func(d *Day) { d.Classes[0].ServiceTime.Mean = 0 }, "work.mean"},
		{"no worth", func(d *Day) { d.Classes[0].Worth = 0 }, "worth"},
		{"no shares", func(d *Day) { d.Classes[0].Weight = 0 }, "shares"},
		{"overlapping load", func(d *Day) { d.Load[1].From = ms(1000) }, "span 1"},
		{"no load", func(d *Day) { d.Load = nil }, "there must be a span"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := calm()
			tt.change(d)
			err := d.check()
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), tt.want))
		})
	}
	t.Run("not JSON of a day", func(t *testing.T) {
		is := is.New(t)
		_, err := Read(strings.NewReader(`{"nam": "x"}`))
		is.True(err != nil)
	})
}

// TestDaysOfTheDocs reads the days whose bounds docs/RESULTS.md gives.
func TestDaysOfTheDocs(t *testing.T) {
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
		r := play(d)
		is.True(r.Worth > 0.9 && r.Worth <= r.Bound+1e-3 && r.Bound < 1)
	}
}
