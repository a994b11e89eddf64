// Package soak runs the real program as processes against stand-ins of the
// platform, injects faults from outside by a seeded schedule, and checks what
// callers and servers are promised while it runs. In each cycle of faults many
// callers come at once, so that hosts limit and refuse flows.
//
// The callers, servers, routers and the store live in the process of the soak.
// Each host is a process of its own, which reaches the store through a proxy of
// its own; it is stopped, paused, killed and restarted by signals.
package soak
