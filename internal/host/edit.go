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

// acceptedEdit notes an accepted edit.
func (h *Host) acceptedEdit(c conf.Commit) {
	h.events.Add(event.Event{Kind: event.Accepted, Revision: c.Revision, Cause: "section " + c.Team + " by " + c.Who})
	h.log.Info("conf: an edit was accepted", zap.Uint64("revision", c.Revision), zap.String("team", c.Team), zap.String("who", c.Who))
}

// serveRepublish writes the document in force back to a platform that went
// back in time. It needs a token that may write every section.
func (h *Host) serveRepublish(w http.ResponseWriter, r *http.Request) {
	if !h.allowed(r, "*") {
		writeJSON(w, http.StatusForbidden, wire.PutResponse{Kind: "denied", Error: "the token may not write every section"})
		return
	}
	var in wire.PutRequest
	if !decodeBody(w, r, &in) {
		return
	}
	a := h.routes.Load().adopted
	if a == nil || in.ID == "" {
		writeJSON(w, http.StatusConflict, wire.PutResponse{Kind: "check", Error: "no configuration is in force, or id is empty"})
		return
	}
	commit, err := conf.Republish(r.Context(), h.store, a, in.Who, in.ID, time.Now().UTC())
	if err != nil {
		h.refusedEdit(w, "*", in.Who, err)
		return
	}
	h.acceptedEdit(commit)
	go h.readHead()
	writeJSON(w, http.StatusOK, wire.PutResponse{Commit: &commit})
}

// readHead takes the head from the platform at once, after an edit here.
func (h *Host) readHead() {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	if v, err := h.store.Get(ctx, conf.HeadKey); err == nil {
		_ = h.takeHead(ctx, v.Data)
	}
}

// refusedEdit answers an edit that was not accepted.
func (h *Host) refusedEdit(w http.ResponseWriter, team, who string, err error) {
	out := wire.PutResponse{Error: err.Error(), Kind: "store"}
	status := http.StatusServiceUnavailable
	var (
		conflict *conf.ConflictError
		check    *conf.CheckError
		behind   *conf.StaleHeadError
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
	case errors.As(err, &behind):
		status = http.StatusConflict
		out.Kind = "behind"
	}
	h.events.Add(event.Event{Kind: event.Refused, Cause: "section " + team + " by " + who + ": " + out.Kind})
	writeJSON(w, status, out)
}
