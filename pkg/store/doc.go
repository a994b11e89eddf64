// Package store implements a client of the platform's key-value store. The
// protocol is JSON over HTTP, with get, compare-and-swap, leases and watches.
//
// The platform limits the rate of calls, where a waiting watch counts as one
// call, and has outages. The client therefore limits its own rate, sets a
// deadline for each call, retries reads with backoff and jitter, and counts the
// calls in a metric. A write whose response was lost returns ErrOutcomeUnknown,
// since it may have taken effect.
package store
