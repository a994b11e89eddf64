// Package spread decides how a host learns of a new configuration. It is a
// pure state machine.
//
// A few hosts of each data centre, the first in rendezvous order for a fixed
// key, watch the platform; no lease is needed, since a configuration is named
// by its revision and two watchers do no harm. The others hear of a revision
// from peers: by a notice that each host passes on to a few others when it
// adopts one, and by the revision that travels with every membership message,
// which repairs what a lost notice left behind.
//
// Where nothing but a watcher's news is to reach all hosts, a Part hands it on
// from delegate to delegate.
//
// Conventions. Time is a time.Duration since an epoch that the embedder
// chooses. Hosts are named by the hash of their names.
package spread
