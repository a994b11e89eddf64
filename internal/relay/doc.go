// Package relay accepts TCP connections and relays those of tcp services to
// backend servers. Connections come from the fabric, with a PROXY protocol v2
// header, or directly from callers. An Ingress passes each connection to the
// Acceptor of its service; the acceptors of http services are in package httplb.
//
// Where the operating system supports splice(2), the kernel copies the data of
// a relayed connection. Either side may half-close the connection. TCP
// keepalive and TCP_USER_TIMEOUT end a connection whose peer has been
// unresponsive for UnresponsiveTimeout.
package relay
