// Package batch reads and writes batches of IPv4 datagrams with recvmmsg(2) and
// sendmmsg(2). Each system call transfers several datagrams, and no call
// allocates memory.
//
// The system calls do not block and are made with RawSyscall6, which does not
// notify the Go scheduler: waking the scheduler's monitor thread for each batch
// costs more than the call itself.
//
// A Reader or Writer is not safe for concurrent use. A Reader reserves headroom
// before each datagram, so that a frame header can be prepended and the datagram
// forwarded without a copy.
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

// Size is the maximum number of datagrams per system call.
const Size = 32

// mmsghdr is the kernel's struct mmsghdr.
type mmsghdr struct {
	unix.Msghdr
	length uint32
	_      [4]byte
}

// Reader reads batches of datagrams from a UDP socket.
type Reader struct {
	raw      syscall.RawConn
	headroom int
	buffers  [Size][]byte
	headers  [Size]mmsghdr
	iovecs   [Size]unix.Iovec
	addrs    [Size]unix.RawSockaddrInet4
	n        int
	errno    syscall.Errno
	wait     func(fd uintptr) bool
	poll     func(fd uintptr)
}

// NewReader returns a Reader for datagrams of at most maxLength bytes. Longer
// datagrams are truncated. The Reader reserves headroom bytes before each
// datagram.
func NewReader(conn *net.UDPConn, maxLength, headroom int) (*Reader, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, eris.Wrap(err, "get the raw connection of the UDP socket")
	}
	r := &Reader{raw: raw, headroom: headroom}
	for i := range Size {
		r.buffers[i] = make([]byte, headroom+maxLength)
		r.iovecs[i].Base = &r.buffers[i][headroom]
		r.iovecs[i].SetLen(maxLength)
		h := &r.headers[i]
		h.Iov = &r.iovecs[i]
		h.SetIovlen(1)
		h.Name = (*byte)(unsafe.Pointer(&r.addrs[i]))
	}
	r.wait = func(fd uintptr) bool { return r.receive(fd) }
	r.poll = func(fd uintptr) { r.receive(fd) }
	return r, nil
}

// receive reads the queued datagrams without blocking. It returns false if
// there were none, and true if it read datagrams or failed.
func (r *Reader) receive(fd uintptr) bool {
	for i := range Size {
		r.headers[i].Namelen = uint32(unsafe.Sizeof(r.addrs[i]))
	}
	n, _, errno := syscall.RawSyscall6(unix.SYS_RECVMMSG, fd, uintptr(unsafe.Pointer(&r.headers[0])), Size, unix.MSG_DONTWAIT, 0, 0)
	r.n, r.errno = int(n), errno
	return errno != syscall.EAGAIN
}

// Wait blocks until datagrams arrive or the connection's read deadline passes.
// It returns the number of datagrams read.
func (r *Reader) Wait() (int, error) {
	if err := r.raw.Read(r.wait); err != nil {
		return 0, err
	}
	return r.result()
}

// Poll reads the queued datagrams without blocking and returns their number,
// which may be 0. It ignores the connection's read deadline.
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

// Datagram returns datagram i of the latest call of Wait or Poll, preceded by
// the headroom. The slice is valid until the next call.
func (r *Reader) Datagram(i int) (framed []byte) {
	return r.buffers[i][:r.headroom+int(r.headers[i].length)]
}

// From returns the sender's address of datagram i of the latest call of Wait or
// Poll.
func (r *Reader) From(i int) netip.AddrPort {
	addr := &r.addrs[i]
	return netip.AddrPortFrom(netip.AddrFrom4(addr.Addr), binary.BigEndian.Uint16((*[2]byte)(unsafe.Pointer(&addr.Port))[:]))
}

// Writer sends batches of datagrams, to any addresses, through a UDP socket.
type Writer struct {
	raw     syscall.RawConn
	headers [Size]mmsghdr
	iovecs  [Size]unix.Iovec
	addrs   [Size]unix.RawSockaddrInet4
	n       int
	sent    int
	errno   syscall.Errno
	send    func(fd uintptr) bool
	// Failed counts the datagrams that the kernel did not accept.
	Failed uint64
}

// NewWriter returns a Writer that sends through conn.
func NewWriter(conn *net.UDPConn) (*Writer, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, eris.Wrap(err, "get the raw connection of the UDP socket")
	}
	w := &Writer{raw: raw}
	for i := range Size {
		h := &w.headers[i]
		h.Iov = &w.iovecs[i]
		h.SetIovlen(1)
		h.Name = (*byte)(unsafe.Pointer(&w.addrs[i]))
		h.Namelen = uint32(unsafe.Sizeof(w.addrs[i]))
		w.addrs[i].Family = unix.AF_INET
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

// Add appends a datagram to the batch and flushes the batch if it is full. The
// caller must not modify b until the batch is flushed.
func (w *Writer) Add(b []byte, to netip.AddrPort) {
	i := w.n
	w.iovecs[i].Base = &b[0]
	w.iovecs[i].SetLen(len(b))
	addr := &w.addrs[i]
	addr.Addr = to.Addr().As4()
	binary.BigEndian.PutUint16((*[2]byte)(unsafe.Pointer(&addr.Port))[:], to.Port())
	w.n++
	if w.n == Size {
		w.Flush()
	}
}

// Flush sends the batch. A datagram that the kernel does not accept is counted
// in Failed and dropped, as a congested network would drop it.
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
