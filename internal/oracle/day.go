package oracle

import (
	"encoding/json"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"lagoonramp.org/lagoonramp/pkg/conf"
)

// Day is the load of a day and when nobody could serve it.
type Day struct {
	Name string `json:"name"`
	// Path is the time that a request and its answer spend on the way, that of
	// the handshake included.
	NetworkDelay conf.Duration `json:"path"`
	Services     []Service     `json:"services"`
	Classes      []Class       `json:"classes"`
	// Load holds the requests that began in each span, in order of time.
	Load []Span `json:"load"`
	// Outages are spans without hosts. Their Count is not used.
	Outages []Span `json:"outages"`
	// Goal weighs the parts of the worth.
	Weights Weights `json:"goal"`
	// Prices is what is taken off for what cannot be avoided.
	Deduction float64 `json:"prices"`
}

// Service is a service's servers together.
type Service struct {
	Name string `json:"name"`
	// Slots is how many requests its servers run at a time, at least 1.
	Slots int `json:"slots"`
}

// Class is a kind of request.
type Class struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Share is the class's part of the load, relative to the other classes'.
	Weight      float64     `json:"share"`
	ServiceTime ServiceTime `json:"work"`
	// Objective is within what time an answer earns Worth, and Timeout within
	// what time it earns LateWorth.
	Objective conf.Duration `json:"objective"`
	Timeout   conf.Duration `json:"timeout"`
	Worth     float64       `json:"worth"`
	LateWorth float64       `json:"lateWorth"`
}

// Work is how long servers work for requests: log-normal, but for a tail that
// takes several times as long.
type ServiceTime struct {
	Mean conf.Duration `json:"mean"`
	// Spread is the standard deviation of the logarithm.
	LogStdDev float64 `json:"spread"`
	// Tail is the part of the requests that take Times as long.
	TailRatio  float64       `json:"tail"`
	TailFactor float64       `json:"times"`
	Max        conf.Duration `json:"max"`
}

// Span is a span of a day.
type Span struct {
	From  conf.Duration `json:"from"`
	To    conf.Duration `json:"to"`
	Count int           `json:"count,omitempty"`
}

// Goal weighs the parts of a day's worth: all requests, the two worst spans of
// the load and the worst class.
type Weights struct {
	Day          float64 `json:"day"`
	WorstWindows float64 `json:"windows"`
	WorstClass   float64 `json:"class"`
}

// Read decodes and checks a day.
func Read(r io.Reader) (*Day, error) {
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	var d Day
	if err := dec.Decode(&d); err != nil {
		return nil, eris.Wrap(err, "decode the day")
	}
	return &d, d.check()
}

// check returns the first fault of a day.
func (d *Day) check() error {
	services := map[string]bool{}
	for _, s := range d.Services {
		if s.Slots < 1 {
			return eris.Errorf("service %q: slots must be at least 1, not %d", s.Name, s.Slots)
		}
		services[s.Name] = true
	}
	shares := 0.0
	for _, c := range d.Classes {
		switch {
		case !services[c.Service]:
			return eris.Errorf("class %q: service %q is not among the services", c.Name, c.Service)
		case c.ServiceTime.Mean <= 0 || c.Objective <= 0 || c.Timeout < c.Objective:
			return eris.Errorf("class %q: work.mean and objective must be above 0, timeout not below objective", c.Name)
		case c.Weight < 0 || c.Worth <= 0:
			return eris.Errorf("class %q: share must not be negative and worth be above 0", c.Name)
		}
		shares += c.Weight
	}
	if shares <= 0 {
		return eris.New("classes: the shares must not all be 0")
	}
	end := time.Duration(0)
	for i, s := range d.Load {
		if s.To <= s.From || time.Duration(s.From) < end || s.Count < 0 {
			return eris.Errorf("load: span %d must end after it begins, begin after the one before and have no negative count", i)
		}
		end = time.Duration(s.To)
	}
	if len(d.Load) == 0 {
		return eris.New("load: there must be a span")
	}
	return nil
}
