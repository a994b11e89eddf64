// Package once ensures that a non-idempotent request with an idempotency key
// runs at most once in a data centre. It is a state machine without I/O, clocks
// or goroutines.
//
// The hosts of a data centre are ranked for each key by rendezvous hashing. The
// first available host owns the key and runs its request. Before that, it
// reserves the key at the next hosts of the ranking, so that the host that
// becomes the owner after a crash has a record of the key. An owner may be
// unable to rule out that the request has already run: it is new, it is
// partitioned from the others, or two hosts that may hold the only records are
// lost. It then reports that the outcome is unknown and never runs the request.
//
// Times are durations since an epoch that the application chooses. A Ledger is not
// safe for concurrent use. Keys must include the name of the service.
package once
