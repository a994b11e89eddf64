// Package peer authenticates the messages between hosts and encodes the
// forwarded datagrams of flows. Frequent, small messages are sent as UDP
// datagrams, all others as HTTP requests with JSON bodies.
//
// HTTP with JSON does not fit forwarded datagrams of flows, probes and messages
// about slots: they are numerous, small and useless when they arrive late.
// Probes and messages about slots are JSON in a datagram. A forwarded datagram
// of a flow follows a binary header of fixed length.
//
// Each datagram carries an HMAC tag, the start time of the sender's process and
// a counter, so that a receiver refuses forged and replayed datagrams. Payloads
// are not encrypted. Several keys may be valid at a time, so that a key can be
// rotated.
package peer
