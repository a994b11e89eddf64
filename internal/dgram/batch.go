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
// library golang.org/x/net does the same but allocates an address for each
// datagram, which the path of datagrams must not do.
type batchReader struct {
	raw     syscall.RawConn
	packets [batch]*packet
	headers [batch]messageHeader
	vectors [batch]unix.Iovec
	names   [batch]unix.RawSockaddrInet6
	// n and errno are the result of the latest call, and receive makes it.
	n       int
	errno   syscall.Errno
	receive func(fd uintptr) bool
}

// messageHeader is the kernel's struct mmsghdr.
type messageHeader struct {
	header unix.Msghdr
	length uint32
	_      [4]byte
}

func newBatchReader(conn *net.UDPConn) (*batchReader, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	r := &batchReader{raw: raw}
	for i := range batch {
		r.renew(i)
	}
	r.receive = func(fd uintptr) bool {
		n, _, errno := syscall.Syscall6(unix.SYS_RECVMMSG, fd, uintptr(unsafe.Pointer(&r.headers[0])), batch, unix.MSG_DONTWAIT, 0, 0)
		r.n, r.errno = int(n), errno
		return errno != syscall.EAGAIN
	}
	return r, nil
}

// renew gives a place of the batch a new packet.
func (r *batchReader) renew(i int) {
	k := newPacket()
	r.packets[i] = k
	r.vectors[i].Base = &k.buf[0]
	r.vectors[i].SetLen(len(k.buf))
	h := &r.headers[i].header
	h.Iov = &r.vectors[i]
	h.SetIovlen(1)
	h.Name = (*byte)(unsafe.Pointer(&r.names[i]))
	h.Namelen = uint32(unsafe.Sizeof(r.names[i]))
}

// read waits for datagrams and returns how many there are.
func (r *batchReader) read() (int, error) {
	if err := r.raw.Read(r.receive); err != nil {
		return 0, err
	}
	if r.errno != 0 {
		return 0, r.errno
	}
	return r.n, nil
}

// take returns a datagram of the latest read, its length and its sender, and
// renews its place.
func (r *batchReader) take(i int) (*packet, int, netip.AddrPort) {
	k, n, from := r.packets[i], int(r.headers[i].length), r.sender(i)
	r.renew(i)
	return k, n, from
}

// sender returns where a datagram came from.
func (r *batchReader) sender(i int) netip.AddrPort {
	name := &r.names[i]
	port := binary.BigEndian.Uint16((*[2]byte)(unsafe.Pointer(&name.Port))[:])
	if name.Family == unix.AF_INET {
		v4 := (*unix.RawSockaddrInet4)(unsafe.Pointer(name))
		return netip.AddrPortFrom(netip.AddrFrom4(v4.Addr), port)
	}
	return netip.AddrPortFrom(netip.AddrFrom16(name.Addr).Unmap(), port)
}
