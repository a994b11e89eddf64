// Package drain coordinates the connection draining of the hosts of a data
// centre. It decides when a host that was asked to stop may report that it is
// not ready.
//
// Routers run readiness checks against the hosts of a data centre. While at least
// half of the hosts are ready, routers send flows to the ready ones only. With
// fewer, they send flows to all hosts, including those that are down, and lose
// the flows that go there. This happens in a rolling restart in which hosts are
// stopped at shorter intervals than a restart takes. Therefore a host that was
// asked to stop remains ready until enough other hosts are ready, for at most
// Settings.MaxWait. Hosts that were asked earlier go first. If no other host is
// ready, the host stops at once: routers then use another data centre.
//
// Times are durations since an epoch that the application chooses. Hosts are
// identified by numbers, such as hashes of their addresses.
package drain
