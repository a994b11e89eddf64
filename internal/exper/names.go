package exper

import (
	"slices"
	"time"
)

// Names lists the experiments.
var Names = []string{"steady", "crest", "stragglers", "churn", "liars", "cut", "silent", "everything"}

// Figures are what one way of balancing reached in an experiment.
type Metrics struct {
	Flows              int     `json:"flows"`
	BrokenFlowsPlanned int     `json:"brokenFlowsPlanned"`
	BrokenFlowsCrash   int     `json:"brokenFlowsCrash"`
	FlowsOnCrashedHost int     `json:"crashedHostHeld"`
	Imbalance          float64 `json:"imbalance"`
	FlowImbalance      float64 `json:"flowImbalance"`
	RequestImbalance   float64 `json:"requestImbalance"`
	Requests           int     `json:"requests"`
	// UsefulAtCrest is the slot time of answers in time over what the slots
	// can do.
	PeakGoodputRatio float64 `json:"usefulAtCrest"`
	// StartedTooLate counts requests that were started for callers that had
	// given up.
	StartedTooLate int `json:"startedTooLate"`
	// AnsweredShare is the share of the requests outside of the crest that
	// got a good answer in time.
	OffPeakAnsweredRatio float64 `json:"answeredShare"`
	ShortP99Ms           float64 `json:"shortP99Ms"`
	ShortOnlyP99Ms       float64 `json:"shortP99AloneMs"`
	Duplicated           int     `json:"doubled"`
	AnsweredWithoutRun   int     `json:"lost"`
	FalseNotRun          int     `json:"falseNotRun"`
	CrossService         int     `json:"crossService"`
	Shed                 int     `json:"shed"`
	// RecoveryBytes is what a host sends in a second for recovery.
	RecoveryBytesPerSecond float64 `json:"recoveryBytes"`
	Blackholed             int     `json:"silenced"`
	BlackholesDetected     int     `json:"silentFound"`
	FalseAlarms            int     `json:"falseAlarms"`
	MaxDetectionSeconds    float64 `json:"silentWorstS"`
}

// Result is the outcome of an experiment on one seed.
type Result struct {
	Lagoonramp Metrics            `json:"lagoonramp"`
	Baselines  map[string]Metrics `json:"baselines"`
}

// Size is the size of a user's service.
type Size struct {
	Hosts, Servers, Slots int
}

// DefaultSize is the Association's entry-desk.
var DefaultSize = Size{Hosts: 7, Servers: 14, Slots: 3}

// plans returns what happens in an experiment.
func plans(name string, size Size) (flowPlan, requestPlan, bool) {
	if !slices.Contains(Names, name) {
		return flowPlan{}, requestPlan{}, false
	}
	f := flowPlan{hosts: size.Hosts, servers: size.Servers, rate: 1500, life: 40 * time.Second,
		gap: 8 * time.Second, end: 60 * time.Second}
	r := requestPlan{hosts: size.Hosts, servers: size.Servers, slots: size.Slots, load: 0.6,
		short: 20 * time.Millisecond, longFactor: 50, patience: 2 * time.Second, longPatience: 30 * time.Second,
		keyed: 0.1, warm: 10 * time.Second, end: 60 * time.Second}
	all := name == "everything"
	if all || name == "churn" {
		f.loss, f.double = 0.005, 0.005
		f.join, f.drain, f.leave, f.crash, f.end = 50*time.Second, 55*time.Second, 60*time.Second, 75*time.Second, 105*time.Second
		r.crash = 45 * time.Second
		r.loss = 0.01
	}
	if all || name == "crest" {
		f.swing, f.swingFrom, f.swingTo = 10, 30*time.Second, 33*time.Second
		r.swing, r.swingFrom, r.swingTo = 10, 30*time.Second, 40*time.Second
	}
	if all || name == "stragglers" || name == "cut" {
		r.longShare = 0.03
	}
	if all || name == "liars" {
		r.liarsFrom, r.liarsTo = 42*time.Second, 52*time.Second
	}
	if all || name == "cut" {
		r.cutFrom, r.cutTo = 12*time.Second, 20*time.Second
		r.loss = 0.01
	}
	if all || name == "silent" {
		f.gap = time.Second
		f.rate = 300
		f.silentAt, f.silentShare = 40*time.Second, 0.05
		f.end = max(f.end, 70*time.Second)
	}
	return f, r, true
}

// Run runs an experiment on a seed. It panics if the name is not one of Names.
func Run(name string, size Size, seed uint64) Result {
	f, r, ok := plans(name, size)
	if !ok {
		panic("exper: " + name + " is not an experiment")
	}
	out := Result{Baselines: map[string]Metrics{}}
	out.Lagoonramp = figures(seed, f, r, newOwnerNet, newDesks)
	out.Baselines["roundRobin"] = figures(seed, f, r, newTurnNet, newTurns)
	out.Baselines["hash"] = figures(seed, f, r, newHashNet, newHashes)
	out.Baselines["fifo"] = figures(seed, f, r, newHashNet, newFIFO)
	return out
}

// figures runs one way of balancing.
func figures(seed uint64, f flowPlan, r requestPlan, net func(*flowWorld) balancer, serve func(*requestWorld) policy) Metrics {
	flows := newFlowWorld(seed, f, net).run()
	requests := newRequestWorld(seed, r, serve).run()
	alone := r
	alone.load = r.load * (1 - r.longShare) * r.short.Seconds() / r.meanSize().Seconds()
	alone.longShare = 0
	short := newRequestWorld(seed, alone, serve).run().short
	ms := func(v int64) float64 { return float64(v) / 100 }
	x := Metrics{
		Flows: flows.opened, BrokenFlowsPlanned: flows.brokenPlanned, BrokenFlowsCrash: flows.brokenCrash,
		FlowsOnCrashedHost: flows.heldByCrashed, FlowImbalance: flows.imbalance, CrossService: flows.crossed,
		RequestImbalance: requests.imbalance, Requests: requests.requests, StartedTooLate: requests.late,
		ShortP99Ms: ms(requests.short.ValueAtQuantile(99)), ShortOnlyP99Ms: ms(short.ValueAtQuantile(99)),
		Duplicated: requests.doubled, AnsweredWithoutRun: requests.lost, FalseNotRun: requests.falseNotRun, Shed: requests.shed,
		Blackholed: flows.silenced, BlackholesDetected: flows.silentFound, FalseAlarms: flows.alarms,
		MaxDetectionSeconds: flows.silentWorst.Seconds(),
	}
	x.RecoveryBytesPerSecond = flows.tellBytes / f.end.Seconds() / float64(f.hosts)
	x.Imbalance = max(x.FlowImbalance, x.RequestImbalance)
	if requests.capacity > 0 {
		x.PeakGoodputRatio = requests.useful.Seconds() / requests.capacity.Seconds()
	}
	if requests.outside > 0 {
		x.OffPeakAnsweredRatio = float64(requests.inTime) / float64(requests.outside)
	}
	return x
}
