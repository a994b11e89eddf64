package oracle

import (
	"encoding/json"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"lagoonramp.org/lagoonramp/pkg/conf"
)

// Day describes the load of a day, its outages and how answers are valued.
type Day struct {
	Name string `json:"name"`
	// NetworkDelay is the time that a request, its answer and the handshake spend
	// in the network.
	NetworkDelay conf.Duration `json:"path"`
	Services     []Service     `json:"services"`
	Classes      []Class       `json:"classes"`
	// Load holds the number of requests that start in each span, in order of time.
	Load []Span `json:"load"`
	// Outages are the spans in which no host is available. Their Count is ignored.
	Outages []Span `json:"outages"`
	// Weights holds the weights of the ratios that make up the worth.
	Weights Weights `json:"goal"`
	// Deduction is the part of the worth that is deducted for unavoidable costs.
	Deduction float64 `json:"prices"`
}

// Service describes the servers of a service as one pool of slots.
type Service struct {
	Name string `json:"name"`
	// Slots is the number of requests that its servers run concurrently, at least 1.
	Slots int `json:"slots"`
}

// Class is a class of requests with the same service time distribution and the same
// worth.
type Class struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Weight sets how many of the requests belong to the class, relative to the
	// weights of the other classes.
	Weight      float64     `json:"share"`
	ServiceTime ServiceTime `json:"work"`
	// An answer within Objective earns Worth, a later one within Timeout earns
	// LateWorth.
	Objective conf.Duration `json:"objective"`
	Timeout   conf.Duration `json:"timeout"`
	Worth     float64       `json:"worth"`
	LateWorth float64       `json:"lateWorth"`
}

// ServiceTime is a distribution of service times: log-normal, with a tail of
// requests that take several times as long.
type ServiceTime struct {
	Mean conf.Duration `json:"mean"`
	// LogStdDev is the standard deviation of the logarithm of the service time.
	LogStdDev float64 `json:"spread"`
	// TailRatio is the ratio of requests that take TailFactor times as long.
	TailRatio  float64 `json:"tail"`
	TailFactor float64 `json:"times"`
	// Max limits the service time. Zero means no limit.
	Max conf.Duration `json:"max"`
}

// Span is a time span of a day, relative to its start. Count is the number of
// requests that start in it.
type Span struct {
	From  conf.Duration `json:"from"`
	To    conf.Duration `json:"to"`
	Count int           `json:"count,omitempty"`
}

// Weights holds the weights of the ratios that make up the worth of a day: all
// requests, the two worst spans of the load, and the worst class.
type Weights struct {
	Day          float64 `json:"day"`
	WorstWindows float64 `json:"windows"`
	WorstClass   float64 `json:"class"`
}

// Read decodes a day from JSON and validates it. Unknown fields are errors.
func Read(r io.Reader) (*Day, error) {
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	var d Day
	if err := dec.Decode(&d); err != nil {
		return nil, eris.Wrap(err, "decode the day")
	}
	return &d, d.validate()
}

// validate returns an error for the first invalid value of a day.
func (d *Day) validate() error {
	services := map[string]bool{}
	for _, s := range d.Services {
		if s.Slots < 1 {
			return eris.Errorf("service %q: slots must be at least 1, not %d", s.Name, s.Slots)
		}
		services[s.Name] = true
	}
	totalWeight := 0.0
	for _, c := range d.Classes {
		switch {
		case !services[c.Service]:
			return eris.Errorf("class %q: service %q is not defined", c.Name, c.Service)
		case c.ServiceTime.Mean <= 0 || c.Objective <= 0 || c.Timeout < c.Objective:
			return eris.Errorf("class %q: work.mean and objective must be above 0, timeout must not be below objective", c.Name)
		case c.Weight < 0 || c.Worth <= 0:
			return eris.Errorf("class %q: share must not be negative and worth must be above 0", c.Name)
		}
		totalWeight += c.Weight
	}
	if totalWeight <= 0 {
		return eris.New("classes: the shares must not all be 0")
	}
	end := time.Duration(0)
	for i, s := range d.Load {
		if s.To <= s.From || time.Duration(s.From) < end || s.Count < 0 {
			return eris.Errorf("load: span %d must end after it begins, must not overlap the span before it and must not have a negative count", i)
		}
		end = time.Duration(s.To)
	}
	if len(d.Load) == 0 {
		return eris.New("load: at least one span is required")
	}
	return nil
}
