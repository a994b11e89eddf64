// Package rendez implements rendezvous hashing. Hosts with the same list of
// nodes agree on the owner of a key without communicating.
//
// The algorithm is highest random weight hashing, D. G. Thaler and
// C. V. Ravishankar, "Using name-based mappings to increase hit rates",
// IEEE/ACM Transactions on Networking 6(1), 1998. The rest of this module relies
// on two of its properties: when a node joins, keys move only to that node, and
// the previous owner of such a key ranks second for it.
//
// Keys and nodes are 64-bit hashes. Hash returns the hash of a name.
package rendez
