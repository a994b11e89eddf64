// Package memb keeps the list of live hosts of a data centre. It is a pure
// state machine: messages and the time go in, messages come out.
//
// Hosts probe each other in turn, ask others to probe before they suspect,
// and suspect before they declare a host dead; a host refutes a suspicion
// with a higher incarnation. News travel on the probes. The cost for each
// host does not depend on their number. The protocol follows A. Das, I. Gupta
// and A. Motivala, "SWIM: Scalable weakly-consistent infection-style process
// group membership protocol", DSN 2002. A host that often misses answers
// waits longer before it accuses others, after A. Dadgar, J. Phillips and
// J. Currey, "Lifeguard: local health awareness for more accurate failure
// detection", DSN-W 2018.
//
// Conventions. Time is a time.Duration since an epoch that the embedder
// chooses. A Machine belongs to one goroutine.
package memb
