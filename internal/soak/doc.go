// Package soak runs the lagoonramp program as real processes against a simulated
// platform, injects faults on a seeded schedule, and checks the guarantees to
// callers and servers during the run. In each cycle of faults many callers send
// requests at once, so that the hosts limit and refuse flows.
//
// The simulated callers, servers, routers and store run in the process of the
// soak test. Each host is a separate process that reaches the store through its
// own proxy. Signals stop, pause, kill and restart the hosts.
package soak
