// Package demo runs the whole system in one process on loopback: the
// platform, the fabric, three data centres of hosts, backend servers and
// load, while an operator edits, a server drains, a host joins, one leaves
// and one is killed.
//
// RunMarked does the same for the path of the users' platform, where packets
// carry marks and servers answer callers directly; the store is away for a
// while there.
//
// Every figure of the report is counted by the callers and the servers, none
// by the hosts, but for the time until an edit is in force, which is asked of
// each host.
package demo
