// Package store is a client of the platform's key-value service, over HTTP
// with JSON: get, compare-and-swap, leases and watches.
//
// The service counts each call and a waiting watch as one, and has outages.
// The client therefore caps its own rate, gives each call a deadline, backs
// off with jitter, and counts each call in a metric. A write whose answer was
// lost returns ErrUnknown: it may have taken effect.
package store
