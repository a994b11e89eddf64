package host

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/internal/fakes"
	"lagoonramp.org/lagoonramp/internal/setup"
)

// certAuthority is a certificate authority.
type certAuthority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pool *x509.CertPool
}

func newCertAuthority(t *testing.T) *certAuthority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign, NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &certAuthority{cert: cert, key: key, pool: pool}
}

// issue returns a certificate for an IP address and its key, in PEM form.
func (a *certAuthority) issue(t *testing.T, serial int64, ip net.IP, until time.Time) (cert, key []byte) {
	t.Helper()
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), IPAddresses: []net.IP{ip}, NotAfter: until,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &k.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		t.Fatal(err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: raw})
}

func writeFile(t *testing.T, name string, data []byte) {
	t.Helper()
	if err := os.WriteFile(name, data, 0o600); err != nil {
		t.Fatal(err)
	}
}

// startTLSHost runs a host whose admin address requires client certificates signed
// by ca. It returns the directory of the certificate files too.
func startTLSHost(t *testing.T, ca *certAuthority) (h *Host, dir string) {
	t.Helper()
	dir = t.TempDir()
	writeFile(t, filepath.Join(dir, "ca"), pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: ca.cert.Raw}))
	h = startHost(t, "h1", fakes.NewPlatform(), func(s *setup.Settings) {
		ip, _, _ := net.SplitHostPort(s.Admin)
		cert, key := ca.issue(t, 2, net.ParseIP(ip), time.Now().Add(time.Hour))
		writeFile(t, filepath.Join(dir, "cert"), cert)
		writeFile(t, filepath.Join(dir, "key"), key)
		s.TLS = &setup.TLS{Certificate: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), ClientCA: filepath.Join(dir, "ca")}
	})
	return h, dir
}

// getHealthz requests /healthz with a client certificate, or without one if cert is
// nil.
func getHealthz(t *testing.T, h *Host, ca *certAuthority, cert, key []byte) (*tls.ConnectionState, error) {
	t.Helper()
	cfg := &tls.Config{RootCAs: ca.pool, MinVersion: tls.VersionTLS12}
	if cert != nil {
		pair, err := tls.X509KeyPair(cert, key)
		if err != nil {
			t.Fatal(err)
		}
		cfg.Certificates = []tls.Certificate{pair}
	}
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: cfg, DisableKeepAlives: true}}
	resp, err := client.Get("https://" + h.settings.Admin + "/healthz")
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return resp.TLS, nil
}

func TestAdminRequiresClientCertificateOfAuthority(t *testing.T) {
	ca, other := newCertAuthority(t), newCertAuthority(t)
	h, _ := startTLSHost(t, ca)
	soon := time.Now().Add(time.Hour)
	cases := []struct {
		name  string
		from  *certAuthority
		until time.Time
		ok    bool
	}{
		{"valid", ca, soon, true},
		{"expired", ca, time.Now().Add(-time.Minute), false},
		{"signed by another authority", other, soon, false},
		{"none", nil, soon, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var cert, key []byte
			if c.from != nil {
				cert, key = c.from.issue(t, 9, net.IPv4(127, 0, 0, 1), c.until)
			}
			_, err := getHealthz(t, h, ca, cert, key)
			is.Equal(err == nil, c.ok)
		})
	}
}

func TestCertificateReload(t *testing.T) {
	is := is.New(t)
	ca := newCertAuthority(t)
	h, dir := startTLSHost(t, ca)
	c := &certReloader{host: h}
	first, err := c.get()
	is.NoErr(err)
	cert, key := ca.issue(t, 77, net.IPv4(127, 0, 0, 1), time.Now().Add(time.Hour))
	writeFile(t, filepath.Join(dir, "key"), []byte("damaged"))
	writeFile(t, filepath.Join(dir, "cert"), cert)
	later := time.Now().Add(time.Minute)
	is.NoErr(os.Chtimes(filepath.Join(dir, "cert"), later, later))
	c.checkedAt = time.Time{}
	same, err := c.get()
	is.NoErr(err)
	is.True(same == first) // A mismatched pair leaves the previous certificate in use.
	writeFile(t, filepath.Join(dir, "key"), key)
	c.checkedAt = time.Time{}
	next, err := c.get()
	is.NoErr(err)
	is.True(next != first)
}
