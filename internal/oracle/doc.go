// Package oracle estimates the worth that a load balancer can earn at best on a
// day of given load. It simulates a scheduler with full knowledge.
//
// The scheduler knows the service time of each request in advance, sees all slots
// of a service at once and causes no delay. It cannot shorten service times or
// network delays, and it cannot reach a server while the hosts are unavailable. It
// runs the requests that can still meet their objective first, the one with the
// earliest objective before the others, and then the late ones, the shortest
// first.
//
// Service times are drawn from an explicit random source, so that a seed always
// gives the same result. Worth is expressed as a ratio of what all requests would
// earn if they were answered within their objectives.
package oracle
