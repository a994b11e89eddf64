// Package admit implements admission control and queueing for the requests of a
// service at a host: it decides which request runs next, which waits, and which
// is refused.
//
// Requests wait at the host, not at a server, and get a server only when a slot
// is free. Requests are classified as short or long by the mean duration of
// earlier requests of the same kind, and long ones may use only a fraction of
// the slots. Waiting requests are served round-robin by caller, so that a caller
// with many requests does not starve the others. This is fair queueing after
// J. Nagle, "On packet switches with infinite storage", RFC 970, 1985. A request
// that cannot meet its deadline is refused on arrival.
//
// Times are durations since an epoch that the application chooses. The types are
// not safe for concurrent use.
package admit
