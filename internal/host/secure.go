package host

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"go.uber.org/zap"
)

// certCheckInterval is the minimum interval between checks whether the files of
// the certificate changed.
const certCheckInterval = 5 * time.Second

// certReloader provides the certificate and reloads it when its file changes.
type certReloader struct {
	host *Host
	mu   sync.Mutex
	cert *tls.Certificate
	// checkedAt is when the files were last checked, modTime the modification time
	// of the certificate file that was loaded.
	checkedAt, modTime time.Time
}

// tlsConfig returns the TLS configuration of the admin address. The certificate is
// reloaded when its file changes, the client CA certificates are not.
func (h *Host) tlsConfig() *tls.Config {
	c := &certReloader{host: h}
	cfg := &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.get() },
	}
	if h.settings.TLS.ClientCA == "" {
		return cfg
	}
	cfg.ClientAuth = tls.RequireAndVerifyClientCert
	cfg.ClientCAs = x509.NewCertPool()
	pem, err := os.ReadFile(h.settings.TLS.ClientCA)
	if err != nil || !cfg.ClientCAs.AppendCertsFromPEM(pem) {
		// With an empty pool every client certificate is rejected.
		h.log.Error("web: cannot read the client CA certificates", zap.Error(err))
	}
	return cfg
}

// get returns the certificate. If the new files cannot be loaded, the previous
// certificate stays in use.
func (c *certReloader) get() (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cert != nil && time.Since(c.checkedAt) < certCheckInterval {
		return c.cert, nil
	}
	c.checkedAt = time.Now()
	files := c.host.settings.TLS
	info, err := os.Stat(files.Certificate)
	if err == nil && c.cert != nil && info.ModTime().Equal(c.modTime) {
		return c.cert, nil
	}
	pair, pairErr := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if pairErr != nil {
		c.host.log.Error("web: cannot read the certificate", zap.Error(pairErr))
		if c.cert != nil {
			return c.cert, nil
		}
		return nil, pairErr
	}
	c.cert = &pair
	if err == nil {
		c.modTime = info.ModTime()
	}
	return c.cert, nil
}
