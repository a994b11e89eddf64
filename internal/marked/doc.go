// Package marked implements a host that forwards the packets of marked flows. A
// mark in each packet of a flow names the flow's server, and servers answer
// callers directly.
//
// Two goroutines share an immutable view of the servers and routes. The control
// loop owns the replica of the store and publishes views that it builds from
// the replica. The traffic loop owns the flows and the packet socket and
// forwards packets according to the latest view. Further goroutines watch the
// store, exchange digests with peers and serve readiness checks and admin
// requests.
package marked
