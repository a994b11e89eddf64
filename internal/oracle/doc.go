// Package oracle works out what of a day's worth no system could lose: how the
// day would go if a scheduler with full knowledge placed every request.
//
// The scheduler knows each request's work beforehand, sees all slots of a
// service at once and spends no time. It cannot shorten a request's own work or
// its way, and cannot reach a server while the hosts are away. Among the
// requests that can still be in time it takes the one whose time ends first,
// then, of those that are late in any case, the shortest.
//
// Conventions. Works are drawn from an explicit random source, so that a seed
// gives the same result. Worth is counted as a part of what all requests would
// earn in time.
package oracle
