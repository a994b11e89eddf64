// Package marked runs a host whose flows carry marks: the servers answer the
// callers directly, and a flow's packets name their server.
//
// Two threads of control share one immutable view. The control loop owns the
// replica of the store and publishes a view from it; the traffic loop owns the
// flows and the sockets of packets and forwards by the view. Loops around them
// watch the store, talk to peers and answer readiness checks and operators.
package marked
