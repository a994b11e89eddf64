// Package relay accepts connections, of the fabric with a PROXY protocol v2
// header or straight from callers, and relays those of tcp services to
// backend servers. Connections of http services are handed on.
//
// A relayed connection is copied by the kernel where the system can splice.
// Each side may close its half. Keepalive and the user timeout end a
// connection that went silent within SilentLimit.
package relay
