package dgram

import (
	"encoding/binary"
	"net"
	"net/netip"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// batchReader reads several datagrams with one system call, recvmmsg(2). The
// module golang.org/x/net does the same but allocates an address for each
// datagram; the data path must not allocate memory per datagram.
type batchReader struct {
	raw       syscall.RawConn
	datagrams [batchSize]*datagram
	headers   [batchSize]mmsghdr
	iovecs    [batchSize]unix.Iovec
	addrs     [batchSize]unix.RawSockaddrInet6
	// receive calls recvmmsg and stores its result in n and errno.
	n       int
	errno   syscall.Errno
	receive func(fd uintptr) bool
}

// mmsghdr is the kernel's struct mmsghdr.
type mmsghdr struct {
	header unix.Msghdr
	length uint32
	_      [4]byte
}

// newBatchReader returns a reader for a socket.
func newBatchReader(conn *net.UDPConn) (*batchReader, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	r := &batchReader{raw: raw}
	for i := range batchSize {
		r.renewSlot(i)
	}
	r.receive = func(fd uintptr) bool {
		n, _, errno := syscall.Syscall6(unix.SYS_RECVMMSG, fd, uintptr(unsafe.Pointer(&r.headers[0])), batchSize, unix.MSG_DONTWAIT, 0, 0)
		r.n, r.errno = int(n), errno
		return errno != syscall.EAGAIN
	}
	return r, nil
}

// renewSlot puts a datagram from the pool into slot i of the batch.
func (r *batchReader) renewSlot(i int) {
	dg := newDatagram()
	r.datagrams[i] = dg
	r.iovecs[i].Base = &dg.buf[0]
	r.iovecs[i].SetLen(len(dg.buf))
	h := &r.headers[i].header
	h.Iov = &r.iovecs[i]
	h.SetIovlen(1)
	h.Name = (*byte)(unsafe.Pointer(&r.addrs[i]))
	h.Namelen = uint32(unsafe.Sizeof(r.addrs[i]))
}

// read blocks until datagrams arrive and returns the number read.
func (r *batchReader) read() (int, error) {
	if err := r.raw.Read(r.receive); err != nil {
		return 0, err
	}
	if r.errno != 0 {
		return 0, r.errno
	}
	return r.n, nil
}

// takeDatagram returns datagram i of the latest read, its length and its sender.
// The caller owns the datagram; slot i gets a new one.
func (r *batchReader) takeDatagram(i int) (*datagram, int, netip.AddrPort) {
	dg, n, from := r.datagrams[i], int(r.headers[i].length), r.sender(i)
	r.renewSlot(i)
	return dg, n, from
}

// sender returns the sender's address of datagram i of the latest read.
func (r *batchReader) sender(i int) netip.AddrPort {
	addr := &r.addrs[i]
	port := binary.BigEndian.Uint16((*[2]byte)(unsafe.Pointer(&addr.Port))[:])
	if addr.Family == unix.AF_INET {
		v4 := (*unix.RawSockaddrInet4)(unsafe.Pointer(addr))
		return netip.AddrPortFrom(netip.AddrFrom4(v4.Addr), port)
	}
	return netip.AddrPortFrom(netip.AddrFrom16(addr.Addr).Unmap(), port)
}
