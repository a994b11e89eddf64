// Package httplb serves the callers of HTTP services. It admits requests,
// forwards them to backend servers and reports one of three outcomes to each
// caller: answered, not run or unknown.
//
// Packages desk, once and retry make the decisions as state machines without
// I/O; this package owns the connections. It uses net/http for the protocol on
// both sides and has its own forwarding. Each request is parsed and serialized
// again, which removes ambiguous framing and so prevents request smuggling.
package httplb
