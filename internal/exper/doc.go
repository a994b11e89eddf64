// Package exper simulates the load-balancing decisions of the packages below
// pkg/ in virtual time and compares them with baseline strategies on the same
// seed. Servers and the network are simulated. Nothing sleeps or reads the real
// clock, so a seed always gives the same result.
//
// Most experiments consist of two independent simulations: datagram flows over
// the tables of package flow, and requests over the dispatchers of package sched
// and the ledgers of package once. Metrics holds what both of them measure. The
// overload experiment simulates the held SYNs of hosts, which package steer orders.
package exper
