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
	// streamInterval is the interval between frames of the status page.
	streamInterval = time.Second
	// maxStatusBytesPerSecond bounds the bytes of status with services that a host
	// sends per second for one open status page, before compression. Compression
	// reduces them to a tenth.
	maxStatusBytesPerSecond = 40_000
	// frameEventWindow is the maximum age of the events on the status page.
	frameEventWindow = time.Minute
)

// pageHandler returns a handler that serves the files of the status page.
func pageHandler() http.Handler {
	sub, err := fs.Sub(pageFiles, "page")
	if err != nil {
		panic("host: cannot open the embedded page: " + err.Error())
	}
	return http.FileServerFS(sub)
}

// statusFrame is one update that the stream sends to the status page.
type statusFrame struct {
	// Cluster is the status without services.
	Cluster *wire.ClusterStatus `json:"cluster"`
	// Full is the status with services. It is omitted from most frames if there
	// are many services, so that a status page stays within the byte rate that is
	// budgeted for control traffic.
	Full *wire.ClusterStatus `json:"full,omitempty"`
	// History holds the most recent commits, the oldest first.
	History []conf.Commit `json:"history"`
	Events  []event.Event `json:"events"`
	// Unresponsive contains the names of the hosts that did not respond.
	Unresponsive []string `json:"silent"`
}

// serveStream streams frames as server-sent events until the client disconnects.
func (h *Host) serveStream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	rc := http.NewResponseController(w)
	t := time.NewTicker(streamInterval)
	defer t.Stop()
	var nextFull time.Time
	for {
		f := h.newFrame(r)
		if !time.Now().Before(nextFull) {
			f.Full = h.ClusterStatus(r.Context(), false)
			nextFull = time.Now().Add(fullStatusInterval(f.Full))
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

// fullStatusInterval returns the interval until the next status with services: the
// time that the largest status of a host takes at maxStatusBytesPerSecond.
func fullStatusInterval(c *wire.ClusterStatus) time.Duration {
	largest := 0
	for _, v := range c.Hosts {
		if v.Status == nil {
			continue
		}
		body, err := json.Marshal(v.Status)
		if err != nil {
			panic("host: cannot encode a status: " + err.Error())
		}
		largest = max(largest, len(body))
	}
	return max(streamInterval, time.Duration(largest)*time.Second/maxStatusBytesPerSecond)
}

// newFrame returns a frame without Full.
func (h *Host) newFrame(r *http.Request) statusFrame {
	f := statusFrame{Cluster: h.ClusterStatus(r.Context(), true), History: []conf.Commit{}}
	if snapshot := h.routes.Load().snapshot; snapshot != nil {
		const maxCommits = 8
		n := len(snapshot.Head.History)
		f.History = snapshot.Head.History[max(0, n-maxCommits):]
	}
	f.Events, f.Unresponsive = h.Timeline(r.Context(), event.Filter{Since: time.Now().Add(-frameEventWindow)})
	return f
}
