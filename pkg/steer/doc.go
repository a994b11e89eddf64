// Package steer decides where each packet of a flow goes, at a host that sees
// the callers' packets only: the servers answer the callers directly (direct
// server return).
//
// The host that receives the SYN of a flow chooses the server. Each later
// packet names the server by its mark, so any host can forward it without
// state. A Table keeps state on its own flows for three purposes: to track the
// load of the servers, to detect servers that do not answer, and to keep a flow
// at one server if its SYN was sent to two.
//
// If the caller does not acknowledge the handshake within the handshake
// timeout, the SYN is sent to a second server. While routers may have moved the
// flow to another host, the SYN is sent to a second server only when the caller
// retransmits it. If both servers answer, the caller's packets may carry the
// mark of either. The first packet after the SYN carries the mark of the server
// whose answer reached the caller first, and the Table pins the flow to that
// server.
//
// While the servers of a service miss the latency objectives of their routes,
// the Table limits the number of flows that it has in flight to them. SYNs
// above the limit are held and released in the sequence that Order defines; those
// that can no longer be served in time are refused.
//
// Open flows of idempotent routes are reset while their server is unreachable. The
// application probes the servers that the Table names.
//
// A Table is not safe for concurrent use. Times are durations since an epoch that
// the application chooses.
package steer
