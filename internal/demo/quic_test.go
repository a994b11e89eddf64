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

// selfSignedCertificate returns a new self-signed certificate.
func selfSignedCertificate(t *testing.T) tls.Certificate {
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

// downloadContent returns a reader of the download's pseudo-random content,
// which is the same for each call.
func downloadContent() io.Reader { return mrand.NewChaCha8([32]byte{7}) }

const (
	// withheldBytes is the size of the last part of the download, which servers
	// send without delays only after the release.
	withheldBytes = 10 << 20
	// Until the release, servers send trickleBytes of that part in each
	// trickleInterval.
	trickleBytes    = 1 << 10
	trickleInterval = 50 * time.Millisecond
)

// serveDownload writes the download to w. It sends the last withheldBytes slowly
// until the release, so that the download stays active while hosts and servers
// change.
func serveDownload(w io.Writer, release <-chan struct{}) {
	src := downloadContent()
	sent, _ := io.CopyN(w, src, downloadBytes-withheldBytes)
	for withheld := true; withheld; {
		select {
		case <-release:
			withheld = false
		case <-time.After(trickleInterval):
			n, err := io.CopyN(w, src, trickleBytes)
			sent += n
			withheld = err == nil
		}
	}
	_, _ = io.CopyN(w, src, downloadBytes-sent)
}

// startQUICServer starts a server that sends the download on the first stream of
// each connection. It returns the server's address.
func startQUICServer(t *testing.T, cert tls.Certificate, release <-chan struct{}) string {
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

// TestQUICDownloadsSurviveJoinLeaveAndDrain guards against flows that break when
// their host leaves, another host joins or their server drains. It downloads
// 50 MB with an unmodified QUIC client from unmodified QUIC servers, through a
// fabric that sends each datagram to a random host.
func TestQUICDownloadsSurviveJoinLeaveAndDrain(t *testing.T) {
	is := is.New(t)
	c, err := NewCluster(nil, time.Minute)
	is.NoErr(err)
	defer c.Close()
	cert := selfSignedCertificate(t)
	release := make(chan struct{})
	address, err := c.FreeAddress()
	is.NoErr(err)
	service := conf.Service{Name: "catalogue-press", Address: address, Protocol: conf.UDP,
		IdleTimeout: conf.Duration(8 * time.Second)}
	for _, name := range []string{"p1", "p2", "p3", "p4"} {
		service.Servers = append(service.Servers, conf.Server{Name: name, Address: startQUICServer(t, cert, release),
			DataCentre: "sapporo", Slots: 3, Connections: 2000, State: conf.Active})
	}
	section := conf.Section{Services: []conf.Service{service}}
	is.NoErr(c.Fabric.ServeUDP(netip.MustParseAddrPort(address)))
	for _, name := range []string{"h1", "h2", "h3", "h4", "h5", "h6", "h7"} {
		_, err := c.AddHost(name, "sapporo", true)
		is.NoErr(err)
	}
	is.True(c.WaitMembers("sapporo", 7, 20*time.Second))
	put := func(id string, base uint64) uint64 {
		response, err := PutSection(c.Hosts()[0], "press", id, base, section)
		is.NoErr(err)
		is.Equal(len(c.WaitInForce(response.Commit.Revision, 20*time.Second)), len(c.Hosts()))
		return response.Commit.Revision
	}
	revision := put("first", 0)
	is.True(c.WaitInRotation(7, 20*time.Second))

	const downloads = 3
	sums := make(chan [32]byte, downloads)
	errs := make(chan error, downloads)
	for range downloads {
		go func() { download(address, sums, errs) }()
	}
	_, err = c.AddHost("h8", "sapporo", true)
	is.NoErr(err)
	is.True(c.WaitMembers("sapporo", 8, 20*time.Second))
	is.True(c.WaitInRotation(8, 20*time.Second))
	for i := range section.Services[0].Servers {
		section.Services[0].Servers[i].State = conf.Draining // The servers of the downloads are among them.
	}
	put("drain", revision)
	is.Equal(len(sums), 0) // All downloads are still active.
	left := make(chan struct{})
	go func() {
		c.Leave(busiestHost(c))
		close(left)
	}()
	is.True(c.WaitMembers("sapporo", 7, 20*time.Second))
	is.Equal(len(sums), 0)
	close(release)
	want := sha256.New()
	_, err = io.CopyN(want, downloadContent(), downloadBytes)
	is.NoErr(err)
	for range downloads {
		is.NoErr(<-errs)
		is.Equal(<-sums, [32]byte(want.Sum(nil)))
	}
	c.Withdraw(c.Hosts()[0])
	select {
	case <-left:
	case <-time.After(2 * time.Minute):
		t.Fatal("timeout waiting for the leaving host to stop")
	}
}

// busiestHost returns a host that pins the most flows. Only the departure of a
// host that pins flows can break downloads.
func busiestHost(c *Cluster) *RunningHost {
	busiest := c.Hosts()[1]
	for _, h := range c.Hosts() {
		if h.Host.PinnedFlows() > busiest.Host.PinnedFlows() {
			busiest = h
		}
	}
	return busiest
}

// download receives the content over one QUIC stream and sends the error, or
// nil, to errs and then the content's hash to sums. It sends no hash if the
// stream cannot be opened.
func download(address string, sums chan<- [32]byte, errs chan<- error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	defer cancel()
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		errs <- err
		return
	}
	defer socket.Close()
	server, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		errs <- err
		return
	}
	conn, err := quic.Dial(ctx, socket, server, &tls.Config{InsecureSkipVerify: true, NextProtos: []string{alpn}}, nil)
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

// TestDemoMeetsGuarantees runs the scenario for a short time and checks that no
// guarantee is violated, such as that no planned change breaks a flow.
func TestDemoMeetsGuarantees(t *testing.T) {
	is := is.New(t)
	r, err := Run(context.Background(), Settings{Duration: 8 * time.Second})
	is.NoErr(err)
	if violations := r.Violations(); len(violations) > 0 {
		t.Fatal(violations, r.Breaks)
	}
}

// TestJoiningHostGetsNoTrafficUntilReady checks that the fabric sends no traffic
// to a host that has no configuration yet, since such a host would reset
// connections.
func TestJoiningHostGetsNoTrafficUntilReady(t *testing.T) {
	is := is.New(t)
	c, err := NewCluster(nil, time.Second)
	is.NoErr(err)
	defer c.Close()
	_, err = c.AddHost("h1", "sapporo", true)
	is.NoErr(err)
	is.True(c.WaitMembers("sapporo", 1, 20*time.Second))
	is.True(!c.WaitInRotation(1, 200*time.Millisecond))
	is.Equal(c.Fabric.HostCount(), 0)
	_, err = PutSection(c.Hosts()[0], "press", "first", 0, conf.Section{})
	is.NoErr(err)
	is.True(c.WaitInRotation(1, 20*time.Second))
	is.Equal(c.Fabric.HostCount(), 1)
}
