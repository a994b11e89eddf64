// Package memb implements group membership: it keeps the list of live hosts of
// a data centre. It is a pure state machine that takes received messages and
// the current time and returns the messages to send.
//
// Hosts probe each other in turn. If a probe is not acknowledged, the prober
// asks other hosts to probe the target indirectly. If these probes fail too,
// it marks the target as suspect, and declares it dead unless the target
// refutes the suspicion with a higher incarnation before a timeout. Membership
// updates are piggybacked on the probes, so the cost per host does not depend
// on the number of hosts. The protocol follows A. Das, I. Gupta and A.
// Motivala, "SWIM: Scalable weakly-consistent infection-style process group
// membership protocol", DSN 2002. A host that often misses acknowledgements
// uses longer timeouts before it suspects others, after A. Dadgar, J. Phillips
// and J. Currey, "Lifeguard: local health awareness for more accurate failure
// detection", DSN-W 2018.
//
// Times are durations since an epoch that the application chooses. A Machine
// is not safe for concurrent use.
package memb
