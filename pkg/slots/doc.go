// Package slots shares the slots of backend servers between hosts without a
// coordinator. It is a pure state machine.
//
// Each slot of each server has a home host, which follows from the list of
// hosts and servers by rendezvous hashing with bounded loads, after
// V. Mirrokni, M. Thorup and M. Zadimoghaddam, "Consistent hashing with
// bounded loads", SODA 2018. A host uses its own slots, lends those that it
// does not need to hosts that ask, and gets them back when the borrower is
// done, or when the borrower stops renewing.
//
// The bound. While hosts agree on their list, at most as many requests run
// at a server as it has slots. After a change of the list a slot that got a
// new home rests until the former home hands it over, at most for
// Settings.Rest; only requests that run longer at a lost home overlap. Parts of a data centre that are cut off
// from each other each use all slots; the server's own shedding is the last
// line.
package slots
