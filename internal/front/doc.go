// Package front serves the callers of http services. It admits requests,
// forwards them to backend servers and tells each caller one of three
// outcomes: answered, not run or unknown.
//
// The decisions are those of packages admit, slots, pick, once and retry;
// this package holds the connections. net/http speaks the protocol on both
// sides; the forwarding is this package's own. A request is always written
// anew, so that nothing ambiguous in it can reach a server.
package front
