// Package peer is how hosts talk to each other: sealed datagrams for what is
// frequent and small, HTTP with JSON for the rest.
//
// The brief asks for HTTP with JSON between processes where it fits. It does
// not fit the datagrams of flows, probes and slots: they are many, small and
// useless when late. Probes and slots are JSON in a datagram; a forwarded
// datagram has a fixed header.
//
// Each datagram carries a keyed tag, the sender's start and a counter, so
// that forged and replayed ones are refused. Two keys may be valid at a time,
// so that one can be replaced.
package peer
