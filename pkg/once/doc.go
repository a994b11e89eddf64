// Package once makes sure that a non-idempotent request with an idempotency
// key runs at most once in a data centre. It is a pure state machine.
//
// The owner of a key, by rendezvous order, runs the request. Before it does,
// it reserves the key at other hosts in the order, so that the host that
// becomes owner after a crash knows the key. An owner that cannot know
// whether the key was run before, since it is new, cut off, or two hosts that
// may have shared the knowledge are lost, says that the outcome is unknown;
// it never runs the request.
//
// Conventions. Time is a time.Duration since an epoch that the embedder
// chooses. A Ledger belongs to one goroutine or lock. Keys are strings that
// contain the service.
package once
