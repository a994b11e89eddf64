// Package gossip disseminates configuration revisions among a group of hosts,
// such as those of a data centre, by gossip. It consists of pure state machines.
//
// A few hosts of the group, those with the highest rendezvous scores for a fixed
// key, watch the platform's store. They need no lease, since a revision
// identifies a configuration and additional watchers do no harm. A
// WatcherSelector ranks only the hosts that the store serves, so that each side
// of a network partition has watchers of its own.
//
// The other hosts learn of a revision from peers in two ways: a host that adopts
// a revision sends a notice to a few peers, and every membership message carries
// the sender's revision, which repairs the loss of notices.
//
// Range.Split is used to broadcast a message from one host to all others along
// a tree of delegates.
//
// Times are durations since an epoch that the application chooses. Hosts are
// identified by the hashes of their names.
package gossip
