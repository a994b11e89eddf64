// Package dgram carries datagrams: between the fabric or callers, hosts and
// backend servers. The decisions are those of package flow; this package
// holds the sockets.
//
// Readers take batches from sockets and hand each datagram to the worker that
// its flow belongs to. Each worker has its own flow table, sealer and local
// ports towards servers, and shares nothing on the way of a datagram but
// counters. What the control thread decides reaches the workers as an
// immutable Tables behind an atomic pointer.
package dgram
