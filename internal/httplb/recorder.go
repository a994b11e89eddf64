package httplb

import (
	"maps"
	"net/http"

	"lagoonramp.org/lagoonramp/pkg/once"
)

// recorder stores an answer while it is relayed, for later repeats of the
// request. A nil recorder stores nothing.
type recorder struct {
	// maxBody is the maximum size of a stored body in bytes.
	maxBody int
	answer  once.Answer
}

// recordHeader stores the status and header of the answer.
func (r *recorder) recordHeader(status int, h http.Header) {
	if r == nil {
		return
	}
	r.answer = once.Answer{Status: status, Header: maps.Clone(h)}
}

// recordBody appends p to the stored body. If the body grows larger than
// maxBody, the answer is stored without it.
func (r *recorder) recordBody(p []byte) {
	if r == nil || r.answer.Truncated {
		return
	}
	if len(r.answer.Body)+len(p) > r.maxBody {
		r.answer.Truncated = true
		r.answer.Body = nil
		return
	}
	r.answer.Body = append(r.answer.Body, p...)
}

// detached reports whether the request continues after its caller disconnects.
func (r *recorder) detached() bool { return r != nil }

// replayedHeader is the response header that marks a stored answer. It is "true",
// or "without body" if the body was too large to store.
const replayedHeader = "Lagoonramp-Replayed"

// writeStoredAnswer answers a repeated request with the stored answer.
func writeStoredAnswer(w http.ResponseWriter, a *once.Answer) {
	h := w.Header()
	for name, values := range a.Header {
		if name != "Trailer" {
			h[name] = values
		}
	}
	if a.Truncated {
		h.Del("Content-Length")
		h.Set(replayedHeader, "without body")
		http.Error(w, "the request was run and answered; the answer was too large to keep", http.StatusConflict)
		return
	}
	h.Set(replayedHeader, "true")
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}
