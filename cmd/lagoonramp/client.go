package main

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/urfave/cli/v3"
)

// clientFlags returns the flags that all commands that send requests to a host
// share, followed by the extra flags.
func clientFlags(extra ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "host", Value: "127.0.0.1:7001", Usage: "the admin `ADDRESS` of any host", Sources: cli.EnvVars("LAGOONRAMP_HOST")},
		&cli.StringFlag{Name: "token", Usage: "the team's token", Sources: cli.EnvVars("LAGOONRAMP_TOKEN")},
		&cli.StringFlag{Name: "ca", Usage: "use TLS and trust the certificate authority in `FILE`"},
		&cli.BoolFlag{Name: "json", Usage: "print JSON"},
	}, extra...)
}

const (
	clientTimeout    = 15 * time.Second
	maxResponseBytes = 256 << 20
)

// client sends requests to the admin address of a host.
type client struct {
	base, token string
	http        *http.Client
}

// newClient returns a client that the flags of the command configure.
func newClient(c *cli.Command) (*client, error) {
	out := &client{base: "http://" + c.String("host"), token: c.String("token"), http: &http.Client{Timeout: clientTimeout}}
	if ca := c.String("ca"); ca != "" {
		pem, err := os.ReadFile(ca)
		if err != nil {
			return nil, eris.Wrap(err, "read the certificate authority")
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, eris.Errorf("%s contains no PEM certificate", ca)
		}
		out.base = "https://" + c.String("host")
		out.http.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}}
	}
	return out, nil
}

// call sends a request with in as JSON body, or without body if in is nil, and
// decodes the response into out. It returns the HTTP status code.
func (c *client) call(ctx context.Context, method, path string, in, out any) (int, error) {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return 0, eris.Wrap(err, "encode the request body")
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return 0, eris.Wrapf(err, "call %s", c.base)
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, eris.Wrapf(err, "call %s", c.base)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return resp.StatusCode, eris.Wrapf(err, "read the response of %s", c.base)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return resp.StatusCode, fmt.Errorf("%s responded with status %d: %s", c.base, resp.StatusCode, strings.TrimSpace(string(data)))
	}
	return resp.StatusCode, nil
}

// printJSON prints a value as indented JSON.
func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
