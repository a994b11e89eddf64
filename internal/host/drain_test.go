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

// startWithConnection runs a host with a tcp service and one open connection.
// shutdown starts a graceful shutdown, abort stops the host at once, and done is
// closed when Run has returned.
func startWithConnection(t *testing.T, drain time.Duration) (h *Host, conn net.Conn, shutdown, abort context.CancelFunc, done chan struct{}) {
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
	settings := &setup.Settings{Name: "h1", DataCentre: "sapporo", Peer: freeAddress(t), Admin: freeAddress(t), Ingress: setup.Ingress{TCP: freeAddress(t)},
		Platform: platform.URL, Keys: []setup.Key{{ID: 1, Secret: secret}}, Limits: setup.Limits{Drain: conf.Duration(drain)}}
	h, err = New(settings, nil)
	if err != nil {
		t.Fatal(err)
	}
	shutdownCtx, shutdown := context.WithCancel(context.Background())
	abortCtx, abort := context.WithCancel(context.Background())
	done = make(chan struct{})
	go func() {
		_ = h.Run(shutdownCtx, abortCtx)
		close(done)
	}()
	t.Cleanup(func() {
		abort()
		<-done
		platform.CloseClientConnections()
		platform.Close()
	})
	section := entrySection(server.Addr().String())
	section.Services[0].Protocol = conf.TCP
	putSection(t, h, "entry", "", wire.PutRequest{Section: section, ID: "1"})
	eventually(t, "revision 1 is in force", func() bool { return h.Status().Revision == 1 })
	return h, connect(t, h), shutdown, abort, done
}

// connect opens a connection through the host and checks that it carries data.
func connect(t *testing.T, h *Host) net.Conn {
	t.Helper()
	c := dialIngress(t, h)
	sendHeader(t, c)
	return c
}

// dialIngress opens a connection to the ingress and sends nothing.
func dialIngress(t *testing.T, h *Host) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", h.settings.Ingress.TCP)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// sendHeader sends a proxy header that names the service and checks that the
// connection carries data.
func sendHeader(t *testing.T, c net.Conn) {
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

// carriesData reports whether the connection still carries data.
func carriesData(c net.Conn) bool {
	if _, err := c.Write([]byte("y")); err != nil {
		return false
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err == nil
}

func TestGracefulShutdownKeepsOpenConnections(t *testing.T) {
	is := is.New(t)
	h, conn, shutdown, _, done := startWithConnection(t, time.Hour)
	shutdown()
	eventually(t, "the host is leaving", func() bool { return h.leaving.Load() })
	// An edit during the drain does not close the connection either.
	next := entrySection("127.0.0.1:2")
	next.Services[0].Protocol = conf.TCP
	putSection(t, h, "entry", "", wire.PutRequest{Section: next, Base: 1, ID: "2"})
	eventually(t, "revision 2 is in force", func() bool { return h.Status().Revision == 2 })
	is.True(carriesData(conn))
	is.NoErr(conn.Close())
	<-done // Run returns after the last connection has ended.
	stopped, _ := h.events.List(event.Filter{Kind: event.Stopped})
	is.Equal(len(stopped), 1)
}

// TestLeavingHostServesAcceptedConnection guards against a leaving host that drops
// a connection which the fabric opened before the host left. The proxy header
// arrives after the drain delay, when no other connection is open.
func TestLeavingHostServesAcceptedConnection(t *testing.T) {
	is := is.New(t)
	h, conn, shutdown, _, done := startWithConnection(t, time.Hour)
	pending := dialIngress(t, h)
	shutdown()
	is.NoErr(conn.Close())
	time.Sleep(drainDelay + time.Second)
	select {
	case <-done:
		t.Fatal("the host stopped while a connection was pending")
	default:
	}
	sendHeader(t, pending)
	is.True(carriesData(pending))
	is.NoErr(pending.Close())
	<-done
}

func TestAbortClosesConnections(t *testing.T) {
	is := is.New(t)
	h, conn, shutdown, abort, done := startWithConnection(t, time.Hour)
	shutdown()
	eventually(t, "the host is leaving", func() bool { return h.leaving.Load() })
	is.True(carriesData(conn))
	abort()
	<-done
	is.True(!carriesData(conn))
}

func TestDrainTimeoutClosesConnections(t *testing.T) {
	is := is.New(t)
	_, conn, shutdown, _, done := startWithConnection(t, 2*time.Second)
	shutdown()
	<-done
	is.True(!carriesData(conn))
}
