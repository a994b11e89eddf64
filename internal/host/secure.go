package host

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"
)

// certEvery is how often the certificate's files are looked at.
const certEvery = 5 * time.Second

// certificates reads a certificate again when its file changes.
type certificates struct {
	host *Host
	mu   sync.Mutex
	cert *tls.Certificate
	// looked is when the files were last looked at, changed their time.
	looked, changed time.Time
}

// tlsConfig secures the admin address. Files are read again when they change.
func (h *Host) tlsConfig() *tls.Config {
	c := &certificates{host: h}
	cfg := &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.get() },
	}
	if h.set.TLS.ClientCA == "" {
		return cfg
	}
	cfg.ClientAuth = tls.RequireAndVerifyClientCert
	cfg.ClientCAs = x509.NewCertPool()
	pem, err := os.ReadFile(h.set.TLS.ClientCA)
	if err != nil || !cfg.ClientCAs.AppendCertsFromPEM(pem) {
		// Without the authority nobody is let in.
		h.log.Error("web: the client authority cannot be read", zap.Error(err))
	}
	return cfg
}

// get returns the certificate. A pair that cannot be read leaves the former
// one in use.
func (c *certificates) get() (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cert != nil && time.Since(c.looked) < certEvery {
		return c.cert, nil
	}
	c.looked = time.Now()
	set := c.host.set.TLS
	info, err := os.Stat(set.Certificate)
	if err == nil && c.cert != nil && info.ModTime().Equal(c.changed) {
		return c.cert, nil
	}
	pair, pairErr := tls.LoadX509KeyPair(set.Certificate, set.Key)
	if pairErr != nil {
		c.host.log.Error("web: the certificate cannot be read", zap.Error(pairErr))
		if c.cert != nil {
			return c.cert, nil
		}
		return nil, pairErr
	}
	c.cert = &pair
	if err == nil {
		c.changed = info.ModTime()
	}
	return c.cert, nil
}
