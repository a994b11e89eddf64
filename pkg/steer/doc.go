// Package steer decides where each packet of a flow goes, at a host that sees
// the callers' packets only: the servers answer the callers directly.
//
// The host that receives a flow's SYN chooses the server. Each later packet
// names the server by its mark, so any host can forward it with nothing
// remembered. What a Table remembers of its own flows serves three ends: to
// know the load of the servers, to see which of them do not answer, and to keep
// a flow at one server whose SYN went to two.
//
// A SYN that is not acknowledged by the caller within the time that handshakes
// take goes to a second server, unless routers may have moved the flow: then only
// a copy of the SYN sends it on. If both servers answer, the caller's packets may
// carry the mark of either: the first packet after the SYN carries the mark of
// the server whose answer the caller took first, and the Table keeps the flow
// there.
//
// While a service's servers answer too late for their routes' objectives, the
// Table limits the flows that it sends them: SYNs wait in a lane, the newest goes
// first, and those that cannot be served any more are refused.
//
// Conventions. A Table belongs to one goroutine. Time is a time.Duration since
// an epoch that the embedder chooses.
package steer
