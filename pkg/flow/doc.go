// Package flow routes the datagrams of flows to backend servers. It is a pure
// state machine: its inputs are datagrams, messages from other hosts and the
// time, its outputs are actions. It opens no sockets, starts no goroutines and
// reads no clock.
//
// Rendezvous hashing assigns each flow key an owner among the hosts of a data
// centre. Every other host forwards the flow's datagrams to the owner. The
// owner alone picks a backend server and pins the flow to it, so that hosts
// with different member lists do not pin one flow to two servers. The host that
// has pinned a flow is its holder. If the member list changed recently, an owner
// that has no entry for a flow first queries the next hosts in rendezvous order.
// A holder among them keeps the flow, and the owner keeps a redirect to it (as
// in daisy chaining).
//
// The table of a host is lost when the host crashes. The choice of the server
// is therefore made recoverable: rendezvous hashing over the servers gives each
// flow two candidates, and a flow is normally pinned to the first. All other flows
// are exceptions. The holder sends its exceptions to the next host in rendezvous
// order, encoded as gaps between sorted fingerprints.
//
// The fabric is the network in front of the hosts, which may deliver a caller's
// datagrams to any host. A caller may also send to a host directly; only that
// host can then send the replies.
//
// Times are durations since an epoch that the application chooses; they must not
// decrease. Hosts and servers are identified by the 64-bit hashes of their names.
// A Table is not safe for concurrent use.
package flow
