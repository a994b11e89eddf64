// Package turns decides when a host that was asked to stop may say that it is
// not ready.
//
// Routers check the hosts of a data centre. While at least half of them are
// ready, routers use these; with fewer, they use all of them, also those that
// are down, and flows that go there are lost. Hosts that are restarted one after
// the other, faster than a restart takes, bring this about. So a host that was
// asked to stop stays ready until enough others are, within its grace; those
// that were asked before it go first. If no other host is ready it goes at once:
// routers then use another data centre.
//
// Conventions. Time is a time.Duration since an epoch that the embedder chooses.
// Hosts are named by the hash of their names.
package turns
