package host

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"lagoonramp.org/lagoonramp/internal/event"
	"lagoonramp.org/lagoonramp/internal/wire"
	"lagoonramp.org/lagoonramp/pkg/conf"
)

// recordAcceptedEdit records an accepted edit as an event and in the log.
func (h *Host) recordAcceptedEdit(c conf.Commit) {
	h.events.Add(event.Event{Kind: event.Accepted, Revision: c.Revision, Cause: "section " + c.Team + " by " + c.Who})
	h.log.Info("conf: edit accepted", zap.Uint64("revision", c.Revision), zap.String("team", c.Team), zap.String("who", c.Who))
}

// serveRepublish writes the document in force to a platform that was rolled back
// to an older revision. It requires a token that may write every section.
func (h *Host) serveRepublish(w http.ResponseWriter, r *http.Request) {
	if !h.mayWrite(r, "*") {
		writeJSON(w, http.StatusForbidden, wire.PutResponse{Kind: "denied", Error: "the token may not write every section"})
		return
	}
	var in wire.PutRequest
	if !decodeBody(w, r, &in) {
		return
	}
	snapshot := h.routes.Load().snapshot
	if snapshot == nil || in.ID == "" {
		writeJSON(w, http.StatusConflict, wire.PutResponse{Kind: "check", Error: "no configuration is in force, or id is empty"})
		return
	}
	commit, err := conf.Republish(r.Context(), h.store, snapshot, in.Who, in.ID, time.Now().UTC())
	if err != nil {
		h.writeRefusedEdit(w, "*", in.Who, err)
		return
	}
	h.recordAcceptedEdit(commit)
	go h.refreshHead()
	writeJSON(w, http.StatusOK, wire.PutResponse{Commit: &commit})
}

// refreshHead reads the head from the platform and offers it to the adopter. It
// runs after an edit at this host, which then need not wait for the watch.
func (h *Host) refreshHead() {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	if v, err := h.store.Get(ctx, conf.HeadKey); err == nil {
		_ = h.offerPlatformHead(ctx, v.Data)
	}
}

// writeRefusedEdit records a refused edit as an event and writes the response.
func (h *Host) writeRefusedEdit(w http.ResponseWriter, team, who string, err error) {
	out := wire.PutResponse{Error: err.Error(), Kind: "store"}
	status := http.StatusServiceUnavailable
	var (
		conflict  *conf.ConflictError
		check     *conf.CheckError
		staleHead *conf.StaleHeadError
	)
	switch {
	case errors.As(err, &conflict):
		status = http.StatusConflict
		out.Kind = "conflict"
		out.Theirs = &conflict.Theirs
		out.CurrentRevision = conflict.Current
		out.LastEditor = conflict.Last.Who
	case errors.As(err, &check):
		status = http.StatusUnprocessableEntity
		out.Kind = "check"
		out.Faults = check.Faults
	case errors.As(err, &staleHead):
		status = http.StatusConflict
		out.Kind = "behind"
	}
	h.events.Add(event.Event{Kind: event.Refused, Cause: "section " + team + " by " + who + ": " + out.Kind})
	writeJSON(w, status, out)
}
