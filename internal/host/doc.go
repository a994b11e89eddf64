// Package host is one entry host: it ties the decisions of pkg/ to sockets,
// to the platform and to operators.
//
// One goroutine, the control loop, owns the membership, the adoption and the
// spreading of the configuration. It publishes what it decides to the traffic
// as immutable values. Traffic never waits for the control loop.
package host
