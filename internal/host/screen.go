package host

import (
	"embed"
	"encoding/json"
	"fmt"
	"io/fs"
	"net/http"
	"time"

	"lagoonramp.org/lagoonramp/internal/event"
	"lagoonramp.org/lagoonramp/internal/wire"
	"lagoonramp.org/lagoonramp/pkg/conf"
)

//go:embed page
var pageFiles embed.FS

const (
	// streamEvery is how often the screen is sent new figures.
	streamEvery = time.Second
	// statusBytes is how much a host may send in a second for the services'
	// figures of a screen, before compression makes it a tenth.
	statusBytes = 40_000
	// screenEvents is how much of the time line the screen shows.
	screenEvents = time.Minute
)

// pageHandler serves the screen.
func pageHandler() http.Handler {
	sub, err := fs.Sub(pageFiles, "page")
	if err != nil {
		panic("host: the page must be embedded: " + err.Error())
	}
	return http.FileServerFS(sub)
}

// screenFrame is what the screen is sent.
type screenFrame struct {
	// Cluster is without services in every frame.
	Cluster *wire.ClusterStatus `json:"cluster"`
	// Full is with services. It comes less often, the more services there
	// are, so that a screen keeps within the budget for control.
	Full    *wire.ClusterStatus `json:"full,omitempty"`
	History []conf.Commit       `json:"history"`
	Events  []event.Event       `json:"events"`
	Silent  []string            `json:"silent"`
}

// serveStream sends the screen's figures while somebody watches.
func (h *Host) serveStream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	rc := http.NewResponseController(w)
	t := time.NewTicker(streamEvery)
	defer t.Stop()
	var fullAt time.Time
	for {
		f := h.frame(r)
		if !time.Now().Before(fullAt) {
			f.Full = h.ClusterStatus(r.Context(), false)
			fullAt = time.Now().Add(fullEvery(f.Full))
		}
		body, err := json.Marshal(f)
		if err != nil {
			return
		}
		if _, err := fmt.Fprintf(w, "data: %s\n\n", body); err != nil || rc.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-t.C:
		}
	}
}

// fullEvery returns how long to wait for the services' figures: as long as the
// largest status takes at statusBytes a second.
func fullEvery(c *wire.ClusterStatus) time.Duration {
	most := 0
	for _, v := range c.Hosts {
		if v.Status == nil {
			continue
		}
		body, err := json.Marshal(v.Status)
		if err != nil {
			panic("host: a status must be encodable: " + err.Error())
		}
		most = max(most, len(body))
	}
	return max(streamEvery, time.Duration(most)*time.Second/statusBytes)
}

func (h *Host) frame(r *http.Request) screenFrame {
	f := screenFrame{Cluster: h.ClusterStatus(r.Context(), true), History: []conf.Commit{}}
	if a := h.routes.Load().adopted; a != nil {
		const most = 8
		n := len(a.Head.History)
		f.History = a.Head.History[max(0, n-most):]
	}
	f.Events, f.Silent = h.Timeline(r.Context(), event.Filter{Since: time.Now().Add(-screenEvents)})
	return f
}
