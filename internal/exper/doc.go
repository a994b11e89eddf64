// Package exper drives the decisions of pkg/ in virtual time with small fakes
// of servers and of the network, and compares them with baselines on the same
// seed. Nothing here sleeps or reads a clock; the same seed gives the same
// result.
//
// There are two parts: flows of datagrams over tables of package flow, and
// requests over desks of package sched and ledgers of package once. An
// experiment runs both and gives the four measures of the brief.
package exper
