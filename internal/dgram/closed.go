package dgram

import (
	"errors"
	"net"
)

// isClosed reports whether err means that this process closed the socket. After
// other errors, such as an ICMP port unreachable message, the socket is still
// usable.
func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
