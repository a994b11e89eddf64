// Package demo runs the whole system in one process on loopback: the
// platform, the fabric, three data centres of hosts, backend servers and
// load, while an operator edits, a server drains, a host joins, one leaves
// and one is killed.
//
// Every figure of the report is counted by the callers and the servers, none
// by the hosts, but for the time until an edit is in force, which is asked of
// each host.
package demo
