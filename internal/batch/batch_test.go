package batch

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// socket returns a UDP socket on a free port of the loopback interface.
func socket(t testing.TB) (*net.UDPConn, netip.AddrPort) {
	t.Helper()
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c, c.LocalAddr().(*net.UDPAddr).AddrPort()
}

func TestBatchesArriveIntactWithHeadroom(t *testing.T) {
	is := is.New(t)
	from, fromAddr := socket(t)
	to, toAddr := socket(t)
	w, err := NewWriter(from)
	is.NoErr(err)
	r, err := NewReader(to, 100, 8)
	is.NoErr(err)
	const count = 3*Size + 5
	for i := range count {
		w.Add([]byte{byte(i), 1, 2}, toAddr)
	}
	w.Flush()
	for got := 0; got < count; {
		n, err := r.Wait()
		is.NoErr(err)
		for i := range n {
			is.Equal(r.Datagram(i)[8:], []byte{byte(got), 1, 2})
			is.Equal(r.From(i), fromAddr)
			got++
		}
	}
	is.Equal(w.Failed, uint64(0))
}

// TestPollReadsQueuedDatagramsAfterDeadline checks that Poll returns queued
// datagrams although the read deadline has passed. A host that was paused finds
// both, and must handle the queued packets before the timer that set the
// deadline.
func TestPollReadsQueuedDatagramsAfterDeadline(t *testing.T) {
	is := is.New(t)
	from, _ := socket(t)
	to, toAddr := socket(t)
	r, err := NewReader(to, 100, 0)
	is.NoErr(err)
	n, err := r.Poll()
	is.NoErr(err)
	is.Equal(n, 0)
	_, err = from.WriteToUDPAddrPort([]byte("x"), toAddr)
	is.NoErr(err)
	is.NoErr(to.SetReadDeadline(time.Now().Add(-time.Second)))
	_, err = r.Wait()
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
	n, err = r.Poll()
	is.NoErr(err)
	is.Equal(n, 1)
}

func TestWaitReturnsErrClosed(t *testing.T) {
	is := is.New(t)
	c, _ := socket(t)
	r, err := NewReader(c, 100, 0)
	is.NoErr(err)
	is.NoErr(c.Close())
	_, err = r.Wait()
	is.True(errors.Is(err, net.ErrClosed))
}

func BenchmarkReadAndWrite(b *testing.B) {
	from, _ := socket(b)
	to, toAddr := socket(b)
	w, _ := NewWriter(from)
	r, _ := NewReader(to, 100, 8)
	data := make([]byte, 100)
	b.ReportAllocs()
	for b.Loop() {
		for range Size / 2 {
			w.Add(data, toAddr)
		}
		w.Flush()
		for got := 0; got < Size/2; {
			n, _ := r.Wait()
			got += n
		}
	}
}
