// Package slots distributes the slots of backend servers among hosts without a
// coordinator. A slot permits one request at a time at its server. The package
// is a pure state machine without I/O.
//
// Each slot of each server is owned by one host. The owner follows from the
// lists of hosts and servers by rendezvous hashing with bounded loads, after
// V. Mirrokni, M. Thorup and M. Zadimoghaddam, "Consistent hashing with
// bounded loads", SODA 2018. A host uses its own slots and lends spare ones to
// hosts that request them. A lent slot returns to its owner when the borrower
// gives it back, or when its lease expires because the borrower has stopped
// renewing it.
//
// While all hosts have the same list of hosts, a server runs at most as many
// requests as it has slots. After a change of the list, the new owner of a slot
// does not use it until the former owner hands it over, but waits at most for
// Settings.HandoverTimeout, or for Settings.LostHostDelay if the former owner
// is no longer in the list. Only requests that run longer than that at the
// former owner can exceed the limit. If the network of a data centre is
// partitioned, the hosts on each side use all slots, and only load shedding by
// the servers themselves prevents overload.
package slots
