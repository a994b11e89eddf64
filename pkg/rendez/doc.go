// Package rendez ranks nodes for a key by rendezvous hashing, so that hosts
// with the same member list agree on an owner without talking to each other.
//
// The method is highest random weight hashing, D. G. Thaler and
// C. V. Ravishankar, "Using name-based mappings to increase hit rates",
// IEEE/ACM Transactions on Networking 6(1), 1998. Two of its properties carry
// the rest of this module: a node that joins takes keys only for itself, and
// the node that owned a key before the join is the next one in the order.
//
// Keys and nodes are 64-bit hashes. Hash makes one from a name.
package rendez
