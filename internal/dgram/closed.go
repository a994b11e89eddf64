package dgram

import (
	"errors"
	"net"
)

// isClosed reports whether a socket was closed on purpose. Other errors, such
// as an ICMP port unreachable, leave it usable.
func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
