package demo

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"io"
	"math/big"
	mrand "math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"

	"lagoonramp.org/lagoonramp/pkg/conf"
)

const (
	downloadBytes = 50 << 20
	alpn          = "download"
)

// certificate returns a self-signed certificate for the test.
func certificate(t *testing.T) tls.Certificate {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
}

// content returns the reader of the download, the same for a seed.
func content() io.Reader { return mrand.NewChaCha8([32]byte{7}) }

const (
	// heldBack is what servers send at full speed only when they are released.
	heldBack   = 10 << 20
	trickle    = 1 << 10
	trickleGap = 50 * time.Millisecond
)

// serveDownload sends the download. Its last part only trickles until the
// release, so that the download goes on while things change.
func serveDownload(s io.Writer, release <-chan struct{}) {
	src := content()
	sent, _ := io.CopyN(s, src, downloadBytes-heldBack)
	for held := true; held; {
		select {
		case <-release:
			held = false
		case <-time.After(trickleGap):
			n, err := io.CopyN(s, src, trickle)
			sent += n
			held = err == nil
		}
	}
	_, _ = io.CopyN(s, src, downloadBytes-sent)
}

// quicServer serves the download to every stream that asks for it.
func quicServer(t *testing.T, cert tls.Certificate, release <-chan struct{}) string {
	t.Helper()
	l, err := quic.ListenAddr("127.0.0.1:0", &tls.Config{Certificates: []tls.Certificate{cert}, NextProtos: []string{alpn}, MinVersion: tls.VersionTLS13}, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept(context.Background())
			if err != nil {
				return
			}
			go func() {
				s, err := conn.AcceptStream(context.Background())
				if err != nil {
					return
				}
				serveDownload(s, release)
				_ = s.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// TestQUICDownloadSurvivesChange downloads 50 MB with a stock QUIC client
// from stock servers through the sprayed fabric, while a host joins, a host
// leaves and the download's server drains.
func TestQUICDownloadSurvivesChange(t *testing.T) {
	is := is.New(t)
	w, err := NewCluster(nil, time.Minute)
	is.NoErr(err)
	defer w.Close()
	cert := certificate(t)
	release := make(chan struct{})
	address, err := w.FreeAddress()
	is.NoErr(err)
	service := conf.Service{Name: "catalogue-press", Address: address, Protocol: conf.UDP,
		IdleTimeout: conf.Duration(8 * time.Second)}
	for _, name := range []string{"p1", "p2", "p3", "p4"} {
		service.Servers = append(service.Servers, conf.Server{Name: name, Address: quicServer(t, cert, release),
			DataCentre: "sapporo", Slots: 3, Connections: 2000, State: conf.Active})
	}
	section := conf.Section{Services: []conf.Service{service}}
	is.NoErr(w.Fabric.ServeUDP(netip.MustParseAddrPort(address)))
	for _, name := range []string{"h1", "h2", "h3", "h4", "h5", "h6", "h7"} {
		_, err := w.AddHost(name, "sapporo", true)
		is.NoErr(err)
	}
	is.True(w.WaitMembers("sapporo", 7, 20*time.Second))
	put := func(id string, base uint64) uint64 {
		answer, err := PutSection(w.Hosts()[0], "press", id, base, section)
		is.NoErr(err)
		is.Equal(len(w.WaitInForce(answer.Commit.Revision, 20*time.Second)), len(w.Hosts()))
		return answer.Commit.Revision
	}
	revision := put("first", 0)
	is.True(w.WaitInRotation(7, 20*time.Second))

	const parallel = 3
	sums := make(chan [32]byte, parallel)
	errs := make(chan error, parallel)
	for range parallel {
		go func() { download(address, sums, errs) }()
	}
	_, err = w.AddHost("h8", "sapporo", true)
	is.NoErr(err)
	is.True(w.WaitMembers("sapporo", 8, 20*time.Second))
	is.True(w.WaitInRotation(8, 20*time.Second))
	for i := range section.Services[0].Servers {
		section.Services[0].Servers[i].State = conf.Draining // Whichever serves, drains.
	}
	put("drain", revision)
	is.Equal(len(sums), 0) // The downloads go on while all this happens.
	left := make(chan struct{})
	go func() {
		w.Leave(holder(w))
		close(left)
	}()
	is.True(w.WaitMembers("sapporo", 7, 20*time.Second))
	is.Equal(len(sums), 0)
	close(release)
	want := sha256.New()
	_, err = io.CopyN(want, content(), downloadBytes)
	is.NoErr(err)
	for range parallel {
		is.NoErr(<-errs)
		is.Equal(<-sums, [32]byte(want.Sum(nil)))
	}
	w.Withdraw(w.Hosts()[0])
	select {
	case <-left:
	case <-time.After(2 * time.Minute):
		t.Fatal("the leaving host did not end")
	}
}

// holder returns a host that holds flows, since its leaving matters.
func holder(w *Cluster) *RunningHost {
	best := w.Hosts()[1]
	for _, n := range w.Hosts() {
		if n.Host.PinnedFlows() > best.Host.PinnedFlows() {
			best = n
		}
	}
	return best
}

// download reads the content over one QUIC stream and sends its hash.
func download(address string, sums chan<- [32]byte, errs chan<- error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	pc, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		errs <- err
		return
	}
	defer pc.Close()
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		errs <- err
		return
	}
	conn, err := quic.Dial(ctx, pc, to, &tls.Config{InsecureSkipVerify: true, NextProtos: []string{alpn}}, nil)
	if err != nil {
		errs <- err
		return
	}
	defer conn.CloseWithError(0, "")
	stream, err := conn.OpenStreamSync(ctx)
	if err != nil {
		errs <- err
		return
	}
	_, _ = stream.Write([]byte("go"))
	h := sha256.New()
	n, err := io.Copy(h, stream)
	if err == nil && n != downloadBytes {
		err = io.ErrUnexpectedEOF
	}
	errs <- err
	sums <- [32]byte(h.Sum(nil))
}

// TestDemoKeepsItsPromises runs the demo for a short time.
func TestDemoKeepsItsPromises(t *testing.T) {
	is := is.New(t)
	r, err := Run(context.Background(), Settings{Duration: 8 * time.Second})
	is.NoErr(err)
	if broken := r.Violations(); len(broken) > 0 {
		t.Fatal(broken, r.Breaks)
	}
}

// TestJoiningHostGetsTrafficWhenItIsReady checks that the fabric gives nothing to
// a host that does not know the configuration yet: it would reset connections.
func TestJoiningHostGetsTrafficWhenItIsReady(t *testing.T) {
	is := is.New(t)
	w, err := NewCluster(nil, time.Second)
	is.NoErr(err)
	defer w.Close()
	_, err = w.AddHost("h1", "sapporo", true)
	is.NoErr(err)
	is.True(w.WaitMembers("sapporo", 1, 20*time.Second))
	is.True(!w.WaitInRotation(1, 200*time.Millisecond))
	is.Equal(w.Fabric.HostCount(), 0)
	_, err = PutSection(w.Hosts()[0], "press", "first", 0, conf.Section{})
	is.NoErr(err)
	is.True(w.WaitInRotation(1, 20*time.Second))
	is.Equal(w.Fabric.HostCount(), 1)
}
