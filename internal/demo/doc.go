// Package demo runs the whole system in one process on loopback addresses: the
// platform, the fabric, hosts in three data centres, backend servers and load.
// Meanwhile an operator edits the configuration, a server drains, a host joins,
// another one leaves and a third one is killed.
//
// RunMarked does the same for the external platform's packet path, where
// packets carry marks and servers answer callers directly. In that scenario the
// store is also unavailable for a short time.
//
// The callers and the servers count the figures of the report, independently of
// the hosts. The only exception is the time until an edit is in force, which is
// measured by polling each host.
package demo
