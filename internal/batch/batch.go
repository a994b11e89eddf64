// Package batch reads and writes datagrams of IPv4 in batches, with one system
// call for several and no allocation: recvmmsg(2) and sendmmsg(2).
//
// The calls do not block, so the scheduler is not told of them: to wake its
// monitor for each batch costs more than the calls.
//
// Conventions. A Reader or Writer belongs to one goroutine. Buffers have room
// in front, so that a datagram can be sent on behind a frame without a copy.
package batch

import (
	"encoding/binary"
	"net"
	"net/netip"
	"syscall"
	"unsafe"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// Size is how many datagrams one call takes.
const Size = 32

// header is the kernel's struct mmsghdr.
type header struct {
	unix.Msghdr
	length uint32
	_      [4]byte
}

// Reader reads from a socket.
type Reader struct {
	raw     syscall.RawConn
	room    int
	buffers [Size][]byte
	headers [Size]header
	vectors [Size]unix.Iovec
	names   [Size]unix.RawSockaddrInet4
	n       int
	errno   syscall.Errno
	wait    func(fd uintptr) bool
	poll    func(fd uintptr)
}

// NewReader returns a reader of datagrams of up to length bytes, with room
// bytes in front of each.
func NewReader(conn *net.UDPConn, length, room int) (*Reader, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, eris.Wrap(err, "take hold of the socket")
	}
	r := &Reader{raw: raw, room: room}
	for i := range Size {
		r.buffers[i] = make([]byte, room+length)
		r.vectors[i].Base = &r.buffers[i][room]
		r.vectors[i].SetLen(length)
		h := &r.headers[i]
		h.Iov = &r.vectors[i]
		h.SetIovlen(1)
		h.Name = (*byte)(unsafe.Pointer(&r.names[i]))
	}
	r.wait = func(fd uintptr) bool { return r.receive(fd) }
	r.poll = func(fd uintptr) { r.receive(fd) }
	return r, nil
}

// receive reads what is there and reports whether there was anything, an error
// included.
func (r *Reader) receive(fd uintptr) bool {
	for i := range Size {
		r.headers[i].Namelen = uint32(unsafe.Sizeof(r.names[i]))
	}
	n, _, errno := syscall.RawSyscall6(unix.SYS_RECVMMSG, fd, uintptr(unsafe.Pointer(&r.headers[0])), Size, unix.MSG_DONTWAIT, 0, 0)
	r.n, r.errno = int(n), errno
	return errno != syscall.EAGAIN
}

// Wait waits for datagrams, at most until the connection's read deadline, and
// returns how many there are.
func (r *Reader) Wait() (int, error) {
	if err := r.raw.Read(r.wait); err != nil {
		return 0, err
	}
	return r.result()
}

// Poll returns how many datagrams there are, without waiting and whatever the
// deadline.
func (r *Reader) Poll() (int, error) {
	if err := r.raw.Control(r.poll); err != nil {
		return 0, err
	}
	if r.errno == syscall.EAGAIN {
		return 0, nil
	}
	return r.result()
}

func (r *Reader) result() (int, error) {
	if r.errno != 0 {
		return 0, r.errno
	}
	return r.n, nil
}

// Datagram returns a datagram of the latest call, with the room in front of
// it. It is valid until the next call.
func (r *Reader) Datagram(i int) (framed []byte) {
	return r.buffers[i][:r.room+int(r.headers[i].length)]
}

// From returns where a datagram of the latest call came from.
func (r *Reader) From(i int) netip.AddrPort {
	n := &r.names[i]
	return netip.AddrPortFrom(netip.AddrFrom4(n.Addr), binary.BigEndian.Uint16((*[2]byte)(unsafe.Pointer(&n.Port))[:]))
}

// Writer sends to many addresses through a socket.
type Writer struct {
	raw     syscall.RawConn
	headers [Size]header
	vectors [Size]unix.Iovec
	names   [Size]unix.RawSockaddrInet4
	n       int
	sent    int
	errno   syscall.Errno
	send    func(fd uintptr) bool
	// Failed counts datagrams that the system did not take.
	Failed uint64
}

// NewWriter returns a writer.
func NewWriter(conn *net.UDPConn) (*Writer, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, eris.Wrap(err, "take hold of the socket")
	}
	w := &Writer{raw: raw}
	for i := range Size {
		h := &w.headers[i]
		h.Iov = &w.vectors[i]
		h.SetIovlen(1)
		h.Name = (*byte)(unsafe.Pointer(&w.names[i]))
		h.Namelen = uint32(unsafe.Sizeof(w.names[i]))
		w.names[i].Family = unix.AF_INET
	}
	w.send = func(fd uintptr) bool {
		n, _, errno := syscall.RawSyscall6(unix.SYS_SENDMMSG, fd, uintptr(unsafe.Pointer(&w.headers[w.sent])), uintptr(w.n-w.sent), unix.MSG_DONTWAIT, 0, 0)
		w.errno = errno
		if errno == 0 {
			w.sent += int(n)
		}
		return true
	}
	return w, nil
}

// Add puts a datagram into the batch and flushes it if it is full. The datagram
// must stay as it is until the flush.
func (w *Writer) Add(b []byte, to netip.AddrPort) {
	i := w.n
	w.vectors[i].Base = &b[0]
	w.vectors[i].SetLen(len(b))
	n := &w.names[i]
	n.Addr = to.Addr().As4()
	binary.BigEndian.PutUint16((*[2]byte)(unsafe.Pointer(&n.Port))[:], to.Port())
	w.n++
	if w.n == Size {
		w.Flush()
	}
}

// Flush sends the batch. A datagram that the system does not take is counted
// and dropped, as a full network would drop it.
func (w *Writer) Flush() {
	w.sent = 0
	for w.sent < w.n {
		if err := w.raw.Write(w.send); err != nil {
			w.Failed += uint64(w.n - w.sent)
			break
		}
		if w.errno != 0 {
			w.Failed++
			w.sent++
		}
	}
	w.n = 0
}
