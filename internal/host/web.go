package host

import (
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/pprof"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"lagoonramp.org/lagoonramp/internal/httplb"
	"lagoonramp.org/lagoonramp/internal/peer"
	"lagoonramp.org/lagoonramp/internal/wire"
	"lagoonramp.org/lagoonramp/pkg/conf"
)

const (
	webHeaderTimeout = 5 * time.Second
	// maxCall bounds the body of an operator's or a peer's call, in bytes.
	maxCall = 4 << 20
)

// serveWeb serves other hosts and operators.
func (h *Host) serveWeb() {
	h.serve(h.peerWeb, h.peerMux())
	admin := h.adminWeb
	if h.set.TLS != nil {
		admin = tls.NewListener(admin, h.tlsConfig())
	}
	h.serve(admin, h.adminMux())
}

func (h *Host) serve(l net.Listener, mux http.Handler) {
	s := &http.Server{Handler: mux, ReadHeaderTimeout: webHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: zap.NewStdLog(zap.NewNop())}
	h.webServers = append(h.webServers, s)
	h.group.Add(1)
	go func() {
		defer h.group.Done()
		if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			h.log.Error("web: a listener failed", zap.Error(err))
		}
	}()
}

const maxHeaderBytes = 64 << 10

// peerMux serves other hosts. Every request must carry a keyed tag.
func (h *Host) peerMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /peer/conf", h.serveConf)
	mux.HandleFunc("POST /peer/status", h.servePeerStatus)
	mux.HandleFunc("POST /peer/events", h.servePeerEvents)
	mux.HandleFunc("POST "+httplb.ReservePath, h.once.ServeReserve)
	mux.HandleFunc("POST "+httplb.ReleasePath, h.once.ServeRelease)
	mux.HandleFunc("POST "+httplb.HandoverPath, h.once.ServeHandover)
	mux.HandleFunc(httplb.RunPath, h.once.ServeRun)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := peer.CheckRequest(r, h.keys, time.Now()); err != nil {
			h.metrics.GetOrCreateCounter(`lagoonramp_peer_refused_total`).Inc()
			http.Error(w, err.Error(), http.StatusForbidden)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// adminMux serves operators.
func (h *Host) adminMux() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/config", h.serveConfig)
	mux.HandleFunc("PUT /api/config/{team}", h.servePut)
	mux.HandleFunc("POST /api/republish", h.serveRepublish)
	mux.HandleFunc("GET /api/section/{digest}", h.serveSection)
	mux.HandleFunc("GET /api/status", h.serveStatus)
	mux.HandleFunc("GET /api/events", h.serveEvents)
	mux.HandleFunc("GET /api/stream", h.serveStream)
	mux.HandleFunc("GET /metrics", h.serveMetrics)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", h.serveReady)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	mux.Handle("GET /", pageHandler())
	return mux
}

// serveReady answers the fabric's question whether to send new traffic.
func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case h.leaving.Load():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case !slices.Contains(h.view.Load().flow.Active, h.id):
		http.Error(w, "joining", http.StatusServiceUnavailable)
	case h.routes.Load().adopted == nil:
		http.Error(w, "no configuration is in force", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ready\n"))
	}
}

// serveConfig answers with the configuration in force.
func (h *Host) serveConfig(w http.ResponseWriter, _ *http.Request) {
	out := wire.ConfigResponse{Head: &conf.Head{}, Document: &conf.Document{}}
	if a := h.routes.Load().adopted; a != nil {
		out.Head = a.Head
		out.Document = a.Document
	}
	writeJSON(w, http.StatusOK, out)
}

// serveSection answers with a section body of the history.
func (h *Host) serveSection(w http.ResponseWriter, r *http.Request) {
	s, err := conf.ReadSection(r.Context(), h.store, r.PathValue("digest"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, s)
}

// allowed reports whether a request's token may write a team's section.
func (h *Host) allowed(r *http.Request, team string) bool {
	if len(h.set.Tokens) == 0 {
		return true
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return false
	}
	sum := sha256.Sum256([]byte(token))
	got := hex.EncodeToString(sum[:])
	for _, name := range []string{team, "*"} {
		if want := h.set.Tokens[name]; want != "" && subtle.ConstantTimeCompare([]byte(got), []byte(strings.ToLower(want))) == 1 {
			return true
		}
	}
	return false
}

// servePut commits an operator's edit.
func (h *Host) servePut(w http.ResponseWriter, r *http.Request) {
	team := r.PathValue("team")
	if !h.allowed(r, team) {
		writeJSON(w, http.StatusForbidden, wire.PutResponse{Kind: "denied", Error: "the token may not write the section of team " + team})
		return
	}
	var in wire.PutRequest
	if !decodeBody(w, r, &in) {
		return
	}
	if in.ID == "" {
		writeJSON(w, http.StatusBadRequest, wire.PutResponse{Kind: "check", Error: "id must not be empty"})
		return
	}
	var seen uint64
	h.call(func() { seen = h.control.adopter.Revision() })
	c := &conf.Committer{KV: h.store, MinRevision: seen}
	commit, err := c.Put(r.Context(), conf.Edit{Team: team, Section: in.Section, Base: in.Base, Who: in.Who, ID: in.ID, At: time.Now().UTC()})
	if err != nil {
		h.refusedEdit(w, team, in.Who, err)
		return
	}
	h.acceptedEdit(commit)
	go h.readHead()
	writeJSON(w, http.StatusOK, wire.PutResponse{Commit: &commit})
}

func decodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxCall))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		writeJSON(w, http.StatusBadRequest, wire.PutResponse{Kind: "check", Error: err.Error()})
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
