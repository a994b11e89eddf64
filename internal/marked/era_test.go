package marked

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/pkg/fleet"
	"lagoonramp.org/lagoonramp/pkg/mirror"
	"lagoonramp.org/lagoonramp/platform"
	"lagoonramp.org/lagoonramp/platform/stub"
)

// restore applies a snapshot of a new era to a replica.
func restore(c *control, era uint64, items ...mirror.Item) {
	c.applyUpdate(update{delta: &mirror.Delta{Version: mirror.Version{Era: era, Revision: 1}, Snapshot: true, Items: items}, source: "store"})
}

// TestRecordsAreWrittenSpreadOverSeconds guards against a burst of calls after a
// restore that has lost all records of hosts: 100 hosts decide at different times,
// and few write.
func TestRecordsAreWrittenSpreadOverSeconds(t *testing.T) {
	const hosts = 100
	is := is.New(t)
	var controls []*control
	now := 10 * time.Minute
	for n := range hosts {
		_, c := newTestPeers(t, 0)
		c.host.settings.PeerAddress, c.host.settings.Name = hostAddress(n), fmt.Sprint("h", n)
		c.host.settings.Decoder, c.host.settings.Store = platform.Decoder{}, discardingStore{}
		c.peers = newPeers(c.host, c.peers.conn)
		for other := range hosts {
			c.peers.observeHost(now, hostAddress(other), "a", now)
		}
		c.peers.updateHostLists()
		_, err := c.replica.ApplySnapshot(now, nil, mirror.Version{Era: 1, Revision: 1})
		is.NoErr(err)
		c.peers.scheduleRecordCheck(now)
		controls = append(controls, c)
	}
	var records []mirror.Item
	checks := map[time.Duration]int{}
	for at := now; at < now+time.Minute; at += 100 * time.Millisecond {
		for n, c := range controls {
			if at < c.peers.nextAnnounce {
				continue
			}
			checks[(at-now)/time.Second]++
			_, err := c.replica.ApplyChanges(at, records, mirror.Version{Era: 1, Revision: 100})
			is.NoErr(err)
			c.peers.announceRecord(at, c)
			if c.peers.recordWrittenAt == at {
				value, _ := json.Marshal(hostRecord{Address: hostAddress(n).String(), DataCentre: "a"})
				records = append(records, mirror.Item{Key: platform.OwnKey(fmt.Sprint("hosts/h", n)), Value: value, Revision: uint64(2 + len(records))})
			}
		}
	}
	is.Equal(len(records), 3) // With two calls each.
	for second, n := range checks {
		is.True(second >= 2 && second <= 10)
		is.True(n <= hosts/4)
	}
}

func hostAddress(n int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("127.0.8.%d:9", n+1))
}

// TestMessagesOfOtherEras checks what a digest of each era makes a host do, with and
// without changes. Hosts that do not know eras send none.
func TestMessagesOfOtherEras(t *testing.T) {
	item := mirror.Item{Key: "servers/i-1", Revision: 50, Deleted: true}
	for _, tt := range []struct {
		name    string
		digest  string
		pending bool // The host fetches the state, and then forwards the broadcast.
		want    mirror.Version
	}{
		{"without an era", `{"revision":99}`, false, mirror.Version{Era: 2, Revision: 1}},
		{"a lower era", `{"era":1,"revision":99}`, false, mirror.Version{Era: 2, Revision: 1}},
		{"the same era", `{"era":2,"revision":50}`, false, mirror.Version{Era: 2, Revision: 50}},
		{"a higher era", `{"era":3,"revision":50}`, true, mirror.Version{Era: 2, Revision: 1}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newFuzzControl(t)
			restore(c, 2)
			d := digest{From: "h1", Address: fuzzedPeer.String(), DataCentre: "a", Since: 1, Items: []mirror.Item{item}, Broadcast: &broadcast{Origin: "127.0.9.3:9", DataCentre: "a"}}
			is.NoErr(json.Unmarshal([]byte(tt.digest), &d))
			c.peers.handleDigest(testNow, &d, c)
			is.Equal(c.replica.Version(), tt.want)
			is.Equal(len(c.peers.pendingBroadcasts) > 0, tt.pending)
		})
	}
	is := is.New(t)
	_, c := newTestPeers(t, 0)
	data, err := json.Marshal(c.peers.newDigest(testNow, c, 0))
	is.NoErr(err)
	is.True(!strings.Contains(string(data), "era")) // Era 0 adds no bytes.
}

// TestPreviewOfAnotherEraIsDiscarded guards against a first view with items from
// before and after a restore. What the earlier pages showed stays in force if it is
// newer.
func TestPreviewOfAnotherEraIsDiscarded(t *testing.T) {
	is := is.New(t)
	c := newFuzzControl(t)
	c.replica = mirror.New(mirror.Settings{Precedence: platform.Decoder{}})
	c.document, c.documentItem, c.builder = nil, mirror.Version{}, fleet.NewBuilder(fleet.Settings{})
	document := func(era uint64, version int) mirror.Item {
		return mirror.Item{Key: "op/config", Era: era, Revision: 3, Value: stub.Document(version)}
	}
	server := mirror.Item{Key: "servers/i-1", Era: 1, Revision: 2, Value: stub.Entry("desk", fuzzedPeer, "a", 1, "ready", 1)}
	c.addPreview([]mirror.Item{document(1, 7), server})
	c.addPreview([]mirror.Item{document(2, 6)})
	c.addPreview([]mirror.Item{{Key: "servers/other", Era: 2, Revision: 1}})
	view := c.host.published.Load().view
	is.Equal(view.DocumentVersion, uint64(7))
	is.Equal(len(view.ServersByMark), 0)
	is.Equal(c.previewParts, 2)
}

// TestKeptItemsArePassedOn checks the reply by which a host that starts learns what
// the store has lost, and that invalid items in one are dropped.
func TestKeptItemsArePassedOn(t *testing.T) {
	is := is.New(t)
	c := newFuzzControl(t)
	c.applyUpdate(update{delta: &mirror.Delta{Version: mirror.Version{Revision: 9}, Snapshot: true, Items: []mirror.Item{{Key: "op/evacuate/b", Revision: 5, Value: []byte("{}")}}}})
	restore(c, 1)
	c.host.controlTasks = make(chan func(*control), 1)
	go func() { (<-c.host.controlTasks)(c) }()
	w := httptest.NewRecorder()
	c.host.serveKept(w, nil)
	server := httptest.NewServer(http.HandlerFunc(func(out http.ResponseWriter, _ *http.Request) {
		out.Header().Set("Content-Encoding", "gzip")
		_, _ = out.Write(w.Body.Bytes())
	}))
	defer server.Close()
	var reply keptReply
	is.NoErr(getJSON(t.Context(), http.DefaultClient, netip.MustParseAddrPort(server.Listener.Addr().String()), keptPath, &reply))
	is.Equal(reply.Era, uint64(1))
	is.Equal(len(reply.Kept), 1)

	starting := newFuzzControl(t)
	restore(starting, 1)
	reply.Kept = append(reply.Kept, mirror.Kept{}, mirror.Kept{Item: mirror.Item{Key: "op/evacuate/x", Revision: 7}})
	reply.Kept = starting.host.validKept("h1", reply.Kept)
	is.Equal(starting.host.malformedMessages.Load(), uint64(2))
	starting.mergeKept(1, &keptReply{Kept: reply.Kept}) // A reply of an earlier era does not count.
	is.Equal(starting.peers.keptQueries.replies, 0)
	starting.mergeKept(1, &reply)
	is.True(starting.host.published.Load().view.Evacuated["b"])
}

// discardingStore accepts all records.
type discardingStore struct{ Store }

func (discardingStore) Announce(context.Context, string, []byte, time.Duration) error { return nil }
