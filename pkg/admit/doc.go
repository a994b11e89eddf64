// Package admit decides which request of a service runs next at a host, which
// waits, and which is told at once that it will not run.
//
// Requests wait at the host, not at a server, and get a server only when a
// slot is free. Short and long requests are told apart by the duration that
// was learned for their kind; long ones may hold only a share of the slots.
// Among waiting requests, callers take turns, so that one caller's flood does
// not starve the rest; this is fair queueing after J. Nagle, "On packet
// switches with infinite storage", RFC 970, 1985. A request whose deadline
// cannot be met is refused before it waits.
//
// Conventions. Time is a time.Duration since an epoch that the embedder
// chooses. Nothing here is safe for concurrent use.
package admit
