//go:build review

// Command standin plays the cases of the review. It starts host processes with
// the command of the deploy file, among stand-ins of the store, the routers, the
// requesters and the servers, and judges what requesters and servers see.
//
// The store is that of platform/stub. The routers, the requesters and the servers
// are this package's own: the cases need zones of routers, flows that stay open
// between requests, and servers that take the milder reading where the protocol
// leaves a choice.
package main
