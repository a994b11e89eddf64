package marked_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/pkg/mark"
	"lagoonramp.org/lagoonramp/platform/stub"
)

// TestStoreFaults checks that hosts keep serving while the store fails in
// different ways, and learn of a server that joined in the meantime even if the
// store has discarded its history.
func TestStoreFaults(t *testing.T) {
	for _, f := range []stub.Fault{stub.Unavailable, stub.RateLimited, stub.ConnectionReset, stub.Malformed, stub.Oversized} {
		t.Run(fmt.Sprint(f), func(t *testing.T) {
			is := is.New(t)
			w := newTestbed(t)
			w.startAndWait(2, 2)
			w.Store.SetFault(f)
			time.Sleep(300 * time.Millisecond)
			is.Equal(w.sendRequest(entryRoute, 100).Result, stub.Answered)
			w.Store.DiscardHistory()
			w.addServer("entry-desk")
			w.Store.SetFault(stub.Healthy)
			for _, h := range w.hosts {
				w.eventually("a host knows the new server", func() bool { return w.hasServers(h, 4) })
			}
			is.Equal(w.sendRequest(entryRoute, 100).Result, stub.Answered)
		})
	}
}

// TestMalformedInputIsIgnored checks that hosts keep serving after malformed
// packets, digests, server entries and documents.
func TestMalformedInputIsIgnored(t *testing.T) {
	is := is.New(t)
	w := newTestbed(t)
	w.startAndWait(2, 2)
	conn, err := net.Dial("udp4", w.HostAddresses(1).Packets.String())
	is.NoErr(err)
	peer, err := net.Dial("udp4", w.HostAddresses(1).Peer.String())
	is.NoErr(err)
	for _, b := range [][]byte{{}, {1}, make([]byte, 35), make([]byte, 36), make([]byte, 2000), []byte(strings.Repeat("x", 100))} {
		_, _ = conn.Write(b)
		_, _ = peer.Write(b)
	}
	w.Store.Put("servers/i-zz", []byte(`{}`))
	w.Store.Put("servers/i-0badc0de", []byte(`{"Service":7`))
	w.Store.Put("op/config", []byte(`{"Version":"x"`))
	last := w.Store.Put("op/other", []byte{0, 1, 2})
	for _, h := range w.hosts {
		w.eventually("a host has read them", func() bool { return h.StoreRevision() >= last })
	}
	for range 20 {
		is.Equal(w.sendRequest(entryRoute, 500).Result, stub.Answered)
	}
	w.checkLedger()
}

// TestForeignEntryHidesNoDrain guards against a draining server that gets new flows
// since another writer has an entry of its address with fields in other spelling
// (review/4).
func TestForeignEntryHidesNoDrain(t *testing.T) {
	w := newTestbed(t)
	w.startAndWait(2, 2)
	leaving := w.servers[0]
	foreign := stub.OddEntries(leaving.Entry("ready"))["other spelling"]
	last := w.Store.Put("servers/agent-"+strings.TrimPrefix(leaving.ID, "i-"), foreign)
	for _, h := range w.hosts {
		w.eventually("a host has read the foreign entry", func() bool { return h.StoreRevision() >= last })
	}
	leaving.Drain()
	w.Store.Put(leaving.Key(), leaving.Entry("draining"))
	for _, h := range w.hosts {
		w.eventually("a host knows that the server is draining", func() bool { return w.hasServers(h, 2) })
	}
}

// TestOddEntriesStopNoHost guards against hosts that end, or follow the store no
// more, since another writer left an odd entry among those of the servers. Hosts
// that run, and one that starts, go on to follow servers and documents, and serve
// the state of servers that have left.
func TestOddEntriesStopNoHost(t *testing.T) {
	const key = "servers/i-00000000000000ad"
	entry := stub.Entry("entry-desk", netip.MustParseAddrPort("127.0.0.1:9"), "z", 1, "draining", 1)
	for name, value := range stub.OddEntries(entry) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			w := newTestbed(t)
			w.startAndWait(2, 2)
			w.Store.Put(key, value)
			w.startHost(3)
			check := func() {
				w.configure("entry-desk", "catalogue-press")
				for _, h := range w.hosts {
					w.eventually("a host has the new document", func() bool { return h.DocumentVersion() == uint64(w.version) })
					w.eventually("a host knows the sound servers", func() bool { return w.hasServers(h, 3) })
				}
			}
			check()
			w.Store.Delete(key)
			check()
			url := fmt.Sprintf("http://%s/remnants?dataCentre=%s&address=127.0.0.1:1", w.HostAddresses(1).Peer, localDataCentre)
			resp, err := http.Get(url)
			is.NoErr(err)
			defer func() { is.NoErr(resp.Body.Close()) }()
			var state struct{ Remnants json.RawMessage }
			is.NoErr(json.NewDecoder(resp.Body).Decode(&state))
			is.Equal(w.sendRequest(entryRoute, 100).Result, stub.Answered)
		})
	}
}

// TestMalformedReplyEndsNoHost guards against a process that a peer ends: its reply
// to a host that starts names a server without an address (malformedPeer of the
// review), and a packet with the mark of that server arrives.
func TestMalformedReplyEndsNoHost(t *testing.T) {
	is := is.New(t)
	w := newTestbed(t)
	const id = "i-7f3a91c2"
	peer := w.HostAddresses(9).Peer
	listener, err := net.Listen("tcp4", peer.String())
	is.NoErr(err)
	queried := make(chan struct{}, 100)
	server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/remnants" {
			_, _ = rw.Write([]byte(`{"revision":0,"items":[{"revision":1}]}`))
			return
		}
		queried <- struct{}{}
		_, _ = fmt.Fprintf(rw, `{"upFor":120000000000,"remnants":{"servers":[{"server":{"id":%q,"service":"entry-desk","slots":3},"ago":1}],"targets":[{}]},"known":[{"address":""}]}`, id)
	})}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	w.startAndWait(1, 2)
	from, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(w.HostAddresses(1).Peer))
	is.NoErr(err)
	_, err = fmt.Fprintf(from, `{"from":"h9","dataCentre":"sapporo","address":%q,"revision":99}`, peer)
	is.NoErr(err)
	<-queried
	time.Sleep(500 * time.Millisecond) // The reply has been merged.
	is.True(!w.Caller.SendMark(entryRoute, mark.Of(id)))
	for range 20 {
		is.Equal(w.sendRequest(entryRoute, 500).Result, stub.Answered)
	}
	w.checkLedger()
}

// TestStormOfLargeDocumentsIsFollowed guards against hosts that stay behind for good
// (review/1): documents follow each other so fast that the answer of a watch, which
// has each of them, is too long to be read.
func TestStormOfLargeDocumentsIsFollowed(t *testing.T) {
	const (
		versions   = 12
		routes     = 40
		nameLength = 10_000 // Long names make a document large, but cheap to decode.
		bound      = 3 * time.Second
	)
	is := is.New(t)
	w := newTestbed(t)
	w.startAndWait(2, 2)
	document := []stub.Route{{Address: entryRoute, Service: "entry-desk"}}
	for i := range routes {
		a := netip.AddrFrom4([4]byte{198, 19, byte(i >> 8), byte(i)})
		document = append(document, stub.Route{Name: strings.Repeat("x", nameLength), Address: netip.AddrPortFrom(a, 443), Service: "entry-desk"})
	}
	for range versions {
		w.version++
		w.PutDocument(w.version, document...)
		time.Sleep(50 * time.Millisecond)
	}
	last := time.Now()
	for _, h := range w.hosts {
		w.eventually("a host has the last document", func() bool { return h.DocumentVersion() == uint64(w.version) })
	}
	is.True(time.Since(last) < bound)
}
