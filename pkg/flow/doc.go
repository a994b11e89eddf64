// Package flow decides where the datagrams of a flow go. It is a pure state
// machine: datagrams, messages of other hosts and the time go in, actions
// come out. It opens no sockets, starts no goroutines and reads no clock.
//
// Each flow key has an owner among the hosts of a data centre by rendezvous
// hashing. Every other host passes the flow's datagrams to the owner. The
// owner alone picks a backend server and pins the flow to it, so that hosts
// with different member lists do not split a flow. An owner that does not
// know a flow, while the member list is young, asks the next hosts in the
// order before it picks; a host that holds the flow goes on holding it and
// the owner keeps a redirect (a daisy chain).
//
// A host that crashes takes its table with it. The choice is therefore made
// recoverable: a server is one of two candidates that follow from the flow's
// hash and the server table, and the owner tells the next host in the order
// only the exceptions, as gaps between sorted fingerprints.
//
// Conventions. Time is a time.Duration since an epoch that the embedder
// chooses; it must not go back. Hosts and servers are named by the 64-bit
// hash of their names. A Table belongs to one goroutine.
package flow
