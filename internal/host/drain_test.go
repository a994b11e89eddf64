package host

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/internal/event"
	"lagoonramp.org/lagoonramp/internal/fakes"
	"lagoonramp.org/lagoonramp/internal/proxyp"
	"lagoonramp.org/lagoonramp/internal/setup"
	"lagoonramp.org/lagoonramp/internal/wire"
	"lagoonramp.org/lagoonramp/pkg/conf"
)

// serving runs a host with a tcp service and one open connection. It returns
// the connection and what ends the host softly and hard.
func serving(t *testing.T, drain time.Duration) (h *Host, conn net.Conn, soft, hard context.CancelFunc, done chan struct{}) {
	t.Helper()
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	go func() {
		for {
			c, err := server.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
		}
	}()
	platform := httptest.NewServer(fakes.NewPlatform())
	set := &setup.Settings{Name: "h1", DataCentre: "sapporo", Peer: free(t), Admin: free(t), Ingress: setup.Ingress{TCP: free(t)},
		Platform: platform.URL, Keys: []setup.Key{{ID: 1, Secret: secret}}, Limits: setup.Limits{Drain: conf.Duration(drain)}}
	h, err = New(set, nil)
	if err != nil {
		t.Fatal(err)
	}
	softly, soft := context.WithCancel(context.Background())
	hardly, hard := context.WithCancel(context.Background())
	done = make(chan struct{})
	go func() {
		_ = h.Run(softly, hardly)
		close(done)
	}()
	t.Cleanup(func() {
		hard()
		<-done
		platform.CloseClientConnections()
		platform.Close()
	})
	section := entrySection(server.Addr().String())
	section.Services[0].Protocol = conf.TCP
	put(t, h, "entry", "", wire.PutRequest{Section: section, ID: "1"})
	eventually(t, "revision 1 is in force", func() bool { return h.Status().Revision == 1 })
	return h, connect(t, h), soft, hard, done
}

// connect opens a connection through the host and makes sure that it works.
func connect(t *testing.T, h *Host) net.Conn {
	t.Helper()
	c := dial(t, h)
	begin(t, c)
	return c
}

// dial opens a connection to the host without a word.
func dial(t *testing.T, h *Host) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", h.set.Ingress.TCP)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// begin leads a connection to the service and makes sure that it works.
func begin(t *testing.T, c net.Conn) {
	t.Helper()
	service := netip.MustParseAddrPort("127.0.0.1:1")
	header := proxyp.Append(nil, proxyp.Header{Source: netip.MustParseAddrPort("192.0.2.7:5000"), Destination: service, Transport: proxyp.Stream})
	if _, err := c.Write(append(header, 'x')); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(c, make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
}

// works reports whether the connection still carries data.
func works(c net.Conn) bool {
	if _, err := c.Write([]byte("y")); err != nil {
		return false
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err == nil
}

func TestGracefulShutdownCutsNothing(t *testing.T) {
	is := is.New(t)
	h, conn, soft, _, done := serving(t, time.Hour)
	soft()
	eventually(t, "the host is leaving", func() bool { return h.leaving.Load() })
	// An edit that comes in the middle does not cut it either.
	next := entrySection("127.0.0.1:2")
	next.Services[0].Protocol = conf.TCP
	put(t, h, "entry", "", wire.PutRequest{Section: next, Base: 1, ID: "2"})
	eventually(t, "revision 2 is in force", func() bool { return h.Status().Revision == 2 })
	is.True(works(conn))
	is.NoErr(conn.Close())
	<-done // The last connection has ended: so does the host.
	stopped, _ := h.events.List(event.Filter{Kind: event.Stopped})
	is.Equal(len(stopped), 1)
}

// TestLeavingHostServesWhatTheFabricHandedOver has a connection whose header
// comes when the host, which has none else, could end.
func TestLeavingHostServesWhatTheFabricHandedOver(t *testing.T) {
	is := is.New(t)
	h, conn, soft, _, done := serving(t, time.Hour)
	late := dial(t, h)
	soft()
	is.NoErr(conn.Close())
	time.Sleep(leaveGrace + time.Second)
	select {
	case <-done:
		t.Fatal("the host ended with a connection on its way")
	default:
	}
	begin(t, late)
	is.True(works(late))
	is.NoErr(late.Close())
	<-done
}

func TestSecondSignalEndsAtOnce(t *testing.T) {
	is := is.New(t)
	h, conn, soft, hard, done := serving(t, time.Hour)
	soft()
	eventually(t, "the host is leaving", func() bool { return h.leaving.Load() })
	is.True(works(conn))
	hard()
	<-done
	is.True(!works(conn))
}

func TestDrainLimitPasses(t *testing.T) {
	is := is.New(t)
	_, conn, soft, _, done := serving(t, 2*time.Second)
	soft()
	<-done
	is.True(!works(conn))
}
