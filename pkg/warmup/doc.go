// Package warmup limits the new flows that a cold server gets from all hosts
// together, without a message between them for each flow.
//
// Load pattern: a server that has just started serves few requests per second,
// and it is attractive, since it is empty. Each of hundreds of hosts chooses
// servers by itself, and often the rate of a cold server is less than one flow
// per second for each host. Hosts may be partitioned, may have just started, or
// may disagree on which hosts exist.
//
// Bound: in any second, a cold server that takes R flows per second gets at most
// R * Overage + Slack new flows. When the hosts agree and there is enough demand,
// it gets 0.95 R.
//
// Only hosts of the server's data centre feed it, and of these the first K by
// rendezvous hashing (Share, Rank). Each keeps a minimum spacing between the
// flows that it sends to the server (Limit). The ranking includes lost hosts, so
// that a partition does not change it, and a host feeds servers only once the
// other hosts have had time to learn what it knows (Membership). A quarter of the
// bound is reserved for hosts whose knowledge is outdated.
//
// All types are pure state machines. Times are durations since an epoch that the
// application chooses.
package warmup
