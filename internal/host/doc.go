// Package host implements an entry host. It connects the state machines of pkg/
// to the sockets, to the platform and to the HTTP API for operators.
//
// One goroutine, the control loop, owns the membership and the adoption and
// dissemination of configurations. It publishes its decisions as immutable
// values that the data path reads. The data path never waits for the control
// loop.
package host
