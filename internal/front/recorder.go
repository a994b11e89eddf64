package front

import (
	"maps"
	"net/http"

	"lagoonramp.org/lagoonramp/pkg/once"
)

// recorder keeps an answer for repeats of its request. A nil recorder keeps
// nothing.
type recorder struct {
	limit  int
	answer once.Answer
}

// begin notes the answer's status and header.
func (r *recorder) begin(status int, h http.Header) {
	if r == nil {
		return
	}
	r.answer = once.Answer{Status: status, Header: maps.Clone(h)}
}

// add notes a part of the body.
func (r *recorder) add(p []byte) {
	if r == nil || r.answer.Truncated {
		return
	}
	if len(r.answer.Body)+len(p) > r.limit {
		r.answer.Truncated = true
		r.answer.Body = nil
		return
	}
	r.answer.Body = append(r.answer.Body, p...)
}

// detached reports whether the request goes on after its caller left.
func (r *recorder) detached() bool { return r != nil }

// replayHeader tells that an answer is a kept one.
const replayHeader = "Lagoonramp-Replayed"

// replayAnswer answers a repeat with the kept answer.
func replayAnswer(w http.ResponseWriter, a *once.Answer) {
	h := w.Header()
	for name, values := range a.Header {
		if name != "Trailer" {
			h[name] = values
		}
	}
	if a.Truncated {
		h.Del("Content-Length")
		h.Set(replayHeader, "without body")
		http.Error(w, "the request was run and answered; the answer was too large to keep", http.StatusConflict)
		return
	}
	h.Set(replayHeader, "true")
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}
