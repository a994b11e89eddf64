package marked

import (
	"encoding/json"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"lagoonramp.org/lagoonramp/pkg/fleet"
	"lagoonramp.org/lagoonramp/pkg/mirror"
	"lagoonramp.org/lagoonramp/platform"
	"lagoonramp.org/lagoonramp/platform/stub"
)

// FuzzHandleDigest checks that no datagram on the port of peers ends the process:
// the control loop handles whatever can be decoded.
func FuzzHandleDigest(f *testing.F) {
	f.Add([]byte(`{}`))
	f.Add([]byte(`{"from":"h1","dataCentre":"a","address":"127.0.9.1:9","revision":7,"age":-5,"served":true,"known":[{"address":"127.0.9.7:9","age":-9223372036854775808}]}`))
	f.Add([]byte(`{"from":"h2","dataCentre":"zz","address":"127.0.9.2:9","revision":0,"round":{"origin":"127.0.9.3:9","dataCentre":"zz","part":{"First":9,"Last":1}}}`))
	f.Add([]byte(`{"from":"h3","dataCentre":"a","address":"127.0.9.3:9","revision":9,"since":3,"items":[{"key":"servers/i-0","value":"e30=","revision":9}],"readyFor":-1,"askedFor":9223372036854775807}`))
	f.Add([]byte(`{"from":"h4","dataCentre":"a","address":"127.0.9.4:9","pins":[{"Key":{"Caller":"1.2.3.4:5","Service":"6.7.8.9:1"},"Mark":3}]}`))
	f.Add([]byte(`{"address":"[::1]:9","known":[{"address":":0"},{"address":"0.0.0.0:0"}],"round":{"origin":"x"}}`))
	f.Add([]byte(`{"from":"h5","dataCentre":"a","address":"127.0.9.5:9","era":18446744073709551615,"revision":1,"since":1,"items":[{"key":"servers/i-0","era":7,"revision":1}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var d digest
		if json.Unmarshal(data, &d) != nil {
			return
		}
		p, c := newTestPeers(t, 2)
		p.handleDigest(time.Second, &d, c)
		p.forwardPendingBroadcasts(time.Second, c)
		p.sendDigests(2*time.Second, c)
		p.removeExpired(time.Hour)
	})
}

// fuzzedPeer is the address of the host whose messages are fuzzed.
var fuzzedPeer = netip.MustParseAddrPort("127.0.9.1:9")

// newFuzzControl returns the control loop of a host with a document and a server.
func newFuzzControl(t *testing.T) *control {
	t.Helper()
	c := newEmptyControl(t)
	c.applyUpdate(oldState())
	return c
}

// newEmptyControl returns the control loop of a host that knows no state yet.
func newEmptyControl(t *testing.T) *control {
	t.Helper()
	p, c := newTestPeers(t, 1)
	p.host.settings.Decoder = platform.Decoder{}
	p.host.firstView = make(chan struct{})
	c.replica = mirror.New(mirror.Settings{Precedence: platform.Decoder{}})
	c.decoded = map[string]decodedServer{}
	c.builder = fleet.NewBuilder(fleet.Settings{})
	c.rebuildTimer = time.NewTimer(time.Hour)
	return c
}

// oldState is the state of a peer with a document and a server, at revision 2.
func oldState() update {
	return update{delta: &mirror.Delta{Snapshot: true, Version: mirror.Version{Revision: 2}, Items: []mirror.Item{
		{Key: "op/config", Revision: 1, Value: stub.Document(1, stub.Route{Address: netip.MustParseAddrPort("198.18.0.1:443"), Service: "desk"})},
		{Key: "servers/i-1", Revision: 2, Value: stub.Entry("desk", netip.MustParseAddrPort("10.0.0.9:80"), "a", 1, "ready", 1)},
	}}}
}

// checkView checks that packets can be sent to each server of the view, and that the
// state for hosts that start can be encoded.
func checkView(t *testing.T, c *control) {
	t.Helper()
	for m, s := range c.host.published.Load().view.ServersByMark {
		if err := s.Validate(); err != nil || m == 0 {
			t.Errorf("the view has an invalid server with mark %d: %v", m, err)
		}
	}
	if _, err := json.Marshal(c.builder.RetainedState(c.host.now())); err != nil {
		t.Error(err)
	}
}

// FuzzMergeRetainedState checks that no reply of a peer to the query of a host that
// starts ends the process, or leaves a server in the view that ends it with a later
// packet.
func FuzzMergeRetainedState(f *testing.F) {
	f.Add([]byte(`{}`))
	f.Add([]byte(`{"upFor":120000000000,"remnants":{"servers":[{"server":{"id":"i-7f3a91c2","token":2134544834,"service":"desk","slots":3,"state":0},"ago":1000000000}]}}`))
	f.Add([]byte(`{"upFor":-1,"remnants":{"servers":[{"server":{"id":"x","service":"desk","address":"[::1]:9","slots":-3,"state":9,"warmFor":-1},"ago":-9}],"targets":[{"left":9}]},"known":[{"address":"x"},{"address":"1.2.3.4:0","age":-5}]}`))
	f.Add([]byte(`{"remnants":{"servers":[{"server":{"id":"x","service":"desk","address":"1.2.3.4:9","slots":1,"started":"9999-12-31T23:59:59Z"}}],"targets":[{"route":"198.18.0.1:443","service":"x","left":9223372036854775807}]}}`))
	f.Add([]byte(`{"remnants":{"evacuated":{"a":-9223372036854775808,"b":9223372036854775807},"marks":{"known":true,"holdings":[{"id":""},{"id":"i-1","challenged":-9223372036854775808,"quiet":9223372036854775807}]}}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var reply retainedStateReply
		if json.Unmarshal(data, &reply) != nil {
			return
		}
		c := newFuzzControl(t)
		c.mergeRetainedState(fuzzedPeer, &reply)
		c.buildView(c.host.now())
		checkView(t, c)
	})
}

// FuzzApplyPeerState checks the same for the state that a peer sends.
func FuzzApplyPeerState(f *testing.F) {
	f.Add([]byte(`{"revision":9,"whole":true,"items":[{"key":"servers/i-2","value":"e30=","revision":9}]}`))
	f.Add([]byte(`{"era":3,"revision":9,"whole":true,"items":[{"key":"servers/i-2","value":"e30=","revision":9},{"key":"op/config","value":"e30=","revision":5}],"kept":[{"key":"servers/i-2","value":"e30=","revision":9,"era":1,"deleted":true,"changed":{"era":2,"revision":9},"left":9223372036854775807},{"key":"op/evacuate/x","revision":1,"changed":{"revision":1},"left":-1}]}`))
	f.Add([]byte(`{"revision":9,"floor":99,"items":[{"revision":18446744073709551615},{"key":"op/config","value":"e30=","revision":5,"deleted":true}],"age":-9223372036854775808}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var d mirror.Delta
		if json.Unmarshal(data, &d) != nil || validateDelta(&d) != nil {
			return
		}
		c := newFuzzControl(t)
		d.Kept = c.host.validKept("peer", d.Kept)
		c.replica.MergeKept(0, d.Kept)
		c.applyUpdate(update{delta: &d, confirmed: d.Version, confirmedAt: -d.Age, source: "peer"})
		c.buildView(c.host.now())
		c.expireKept(time.Hour)
		checkView(t, c)
	})
}

// FuzzServePins checks that no request with pins ends the process.
func FuzzServePins(f *testing.F) {
	f.Add(`[{"Key":{"Caller":"1.2.3.4:5","Service":"6.7.8.9:1"},"Mark":3},{"Key":{"Caller":"[::1]:5"}}]`)
	f.Fuzz(func(t *testing.T, body string) {
		p, _ := newTestPeers(t, 1)
		p.host.servePins(httptest.NewRecorder(), httptest.NewRequest("POST", pinsPath, strings.NewReader(body)))
		for _, pin := range p.host.traffic.receivedPins {
			if err := validatePin(pin); err != nil {
				t.Error(err)
			}
		}
	})
}
