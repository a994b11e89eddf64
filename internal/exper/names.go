package exper

import (
	"slices"
	"time"
)

// Names lists the experiments: no faults (steady), a load peak (crest), long requests
// (stragglers), membership changes and a host crash (churn), failing servers with
// false health reports (liars), a network partition between hosts with long
// requests (cut), blackholed flows (silent), and all of these (everything).
var Names = []string{"steady", "crest", "stragglers", "churn", "liars", "cut", "silent", "everything"}

// Metrics holds the measurements of one strategy in an experiment.
type Metrics struct {
	Flows int `json:"flows"`
	// A flow is broken when its datagrams reach a second server. BrokenFlowsCrash
	// counts the broken flows that the crashed host had pinned, BrokenFlowsPlanned
	// all other broken flows.
	BrokenFlowsPlanned int `json:"brokenFlowsPlanned"`
	BrokenFlowsCrash   int `json:"brokenFlowsCrash"`
	// FlowsOnCrashedHost counts the flows that the crashed host had pinned.
	FlowsOnCrashedHost int `json:"crashedHostHeld"`
	// Imbalance is the higher one of FlowImbalance and RequestImbalance, each the
	// ratio of the highest load of a server to the mean.
	Imbalance        float64 `json:"imbalance"`
	FlowImbalance    float64 `json:"flowImbalance"`
	RequestImbalance float64 `json:"requestImbalance"`
	Requests         int     `json:"requests"`
	// PeakGoodputRatio is the ratio of the slot time that was spent during the
	// load peak on requests that ended before their deadline to all slot time. The
	// first second of the peak is left out.
	PeakGoodputRatio float64 `json:"usefulAtCrest"`
	// StartedTooLate counts requests that servers started after their deadline.
	StartedTooLate int `json:"startedTooLate"`
	// OffPeakAnsweredRatio is the ratio of requests outside the load peak that were
	// answered successfully before their deadline.
	OffPeakAnsweredRatio float64 `json:"answeredShare"`
	// ShortP99Ms is the 99th percentile latency of short requests that arrived
	// before any load peak and were answered without a retry by the caller.
	// ShortOnlyP99Ms is the same without long requests in the load.
	ShortP99Ms     float64 `json:"shortP99Ms"`
	ShortOnlyP99Ms float64 `json:"shortP99AloneMs"`
	// Duplicated counts idempotency keys that ran more than once,
	// AnsweredWithoutRun keyed requests that were answered although they never
	// ran, and FalseNotRun keyed requests that were reported as not run although
	// they ran.
	Duplicated         int `json:"doubled"`
	AnsweredWithoutRun int `json:"lost"`
	FalseNotRun        int `json:"falseNotRun"`
	// CrossService counts datagrams that reached a server of another service.
	CrossService int `json:"crossService"`
	Shed         int `json:"shed"`
	// RecoveryBytesPerSecond is the mean rate at which a host sends the exceptions
	// that let other hosts take over its flows after a crash.
	RecoveryBytesPerSecond float64 `json:"recoveryBytes"`
	// Blackholed counts the blackholed flows, BlackholesDetected those of them that
	// were detected as unresponsive, and MaxDetectionSeconds the longest detection
	// delay. FalseAlarms counts responsive flows that were ended.
	Blackholed          int     `json:"silenced"`
	BlackholesDetected  int     `json:"silentFound"`
	FalseAlarms         int     `json:"falseAlarms"`
	MaxDetectionSeconds float64 `json:"silentWorstS"`
}

// Result holds the measurements of an experiment on one seed.
type Result struct {
	Lagoonramp Metrics            `json:"lagoonramp"`
	Baselines  map[string]Metrics `json:"baselines"`
}

// Size is the size of the simulated service. Slots is the number of slots of each
// server.
type Size struct {
	Hosts, Servers, Slots int
}

// DefaultSize is the size of the simulated service unless another one is chosen.
var DefaultSize = Size{Hosts: 7, Servers: 14, Slots: 3}

// experimentPlans returns the flow plan and the request plan of an experiment. It
// reports false if the name is not one of Names.
func experimentPlans(name string, size Size) (flowPlan, requestPlan, bool) {
	if !slices.Contains(Names, name) {
		return flowPlan{}, requestPlan{}, false
	}
	f := flowPlan{hosts: size.Hosts, servers: size.Servers, openRate: 1500, meanLifetime: 40 * time.Second,
		meanInterval: 8 * time.Second, duration: 60 * time.Second}
	r := requestPlan{hosts: size.Hosts, servers: size.Servers, slots: size.Slots, load: 0.6,
		meanShort: 20 * time.Millisecond, longFactor: 50, timeout: 2 * time.Second, longTimeout: 30 * time.Second,
		keyedRatio: 0.1, warmUp: 10 * time.Second, duration: 60 * time.Second}
	all := name == "everything"
	if all || name == "churn" {
		f.lossRate, f.duplicateRate = 0.005, 0.005
		f.joinAt, f.drainAt, f.leaveAt, f.crashAt, f.duration = 50*time.Second, 55*time.Second, 60*time.Second, 75*time.Second, 105*time.Second
		r.crashAt = 45 * time.Second
		r.answerLossRate = 0.01
	}
	if all || name == "crest" {
		f.peakFactor, f.peakFrom, f.peakTo = 10, 30*time.Second, 33*time.Second
		r.peakFactor, r.peakFrom, r.peakTo = 10, 30*time.Second, 40*time.Second
	}
	if all || name == "stragglers" || name == "cut" {
		r.longRatio = 0.03
	}
	if all || name == "liars" {
		r.falseHealthFrom, r.falseHealthTo = 42*time.Second, 52*time.Second
	}
	if all || name == "cut" {
		r.partitionFrom, r.partitionTo = 12*time.Second, 20*time.Second
		r.answerLossRate = 0.01
	}
	if all || name == "silent" {
		f.meanInterval = time.Second
		f.openRate = 300
		f.blackholeAt, f.blackholeRatio = 40*time.Second, 0.05
		f.duration = max(f.duration, 70*time.Second)
	}
	return f, r, true
}

// Run runs an experiment on a seed. It panics if the name is not one of Names.
func Run(name string, size Size, seed uint64) Result {
	f, r, ok := experimentPlans(name, size)
	if !ok {
		panic("exper: " + name + " is not an experiment")
	}
	out := Result{Baselines: map[string]Metrics{}}
	out.Lagoonramp = runStrategy(seed, f, r, newOwnerBalancer, newDispatcherBalancer)
	out.Baselines["roundRobin"] = runStrategy(seed, f, r, newRoundRobinBalancer, newImmediateRoundRobin)
	out.Baselines["hash"] = runStrategy(seed, f, r, newHashBalancer, newImmediateHash)
	out.Baselines["fifo"] = runStrategy(seed, f, r, newHashBalancer, newFIFOBalancer)
	return out
}

// runStrategy runs both simulations with the given balancers. It runs the
// requests a second time without long ones, at the same rate of short requests,
// to measure the latency of short requests alone.
func runStrategy(seed uint64, f flowPlan, r requestPlan, newFlowBalancer func(*flowSim) flowBalancer, newRequestBalancer func(*requestSim) requestBalancer) Metrics {
	flows := newFlowSim(seed, f, newFlowBalancer).run()
	requests := newRequestSim(seed, r, newRequestBalancer).run()
	shortOnly := r
	shortOnly.load = r.load * (1 - r.longRatio) * r.meanShort.Seconds() / r.meanServiceTime().Seconds()
	shortOnly.longRatio = 0
	shortOnlyLatency := newRequestSim(seed, shortOnly, newRequestBalancer).run().shortLatency
	ms := func(v int64) float64 { return float64(v) / 100 }
	m := Metrics{
		Flows: flows.opened, BrokenFlowsPlanned: flows.brokenPlanned, BrokenFlowsCrash: flows.brokenCrash,
		FlowsOnCrashedHost: flows.onCrashedHost, FlowImbalance: flows.imbalance, CrossService: flows.crossService,
		RequestImbalance: requests.imbalance, Requests: requests.requests, StartedTooLate: requests.startedTooLate,
		ShortP99Ms: ms(requests.shortLatency.ValueAtQuantile(99)), ShortOnlyP99Ms: ms(shortOnlyLatency.ValueAtQuantile(99)),
		Duplicated: requests.duplicated, AnsweredWithoutRun: requests.answeredWithoutRun, FalseNotRun: requests.falseNotRun, Shed: requests.shed,
		Blackholed: flows.blackholed, BlackholesDetected: flows.blackholesDetected, FalseAlarms: flows.falseAlarms,
		MaxDetectionSeconds: flows.maxDetectionDelay.Seconds(),
	}
	m.RecoveryBytesPerSecond = flows.exceptionBytes / f.duration.Seconds() / float64(f.hosts)
	m.Imbalance = max(m.FlowImbalance, m.RequestImbalance)
	if requests.peakCapacity > 0 {
		m.PeakGoodputRatio = requests.peakGoodput.Seconds() / requests.peakCapacity.Seconds()
	}
	if requests.offPeak > 0 {
		m.OffPeakAnsweredRatio = float64(requests.offPeakInTime) / float64(requests.offPeak)
	}
	return m
}
