package marked

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/pkg/gossip"
)

// maxDigestBytesPerSecond is the limit of a host's digest traffic, sent and
// received together.
const maxDigestBytesPerSecond = 9000

// TestDigestTrafficIsBounded calculates the digest traffic of a host that is
// not a watcher, among 540 hosts in six data centres. The host receives each
// broadcast of each watcher and forwards one digest per broadcast on average.
// It also sends digests to a few peers and receives as many.
func TestDigestTrafficIsBounded(t *testing.T) {
	is := is.New(t)
	p, c := newTestPeers(t, 90)
	size := func(known int) float64 {
		d := p.newDigest(time.Minute, c, known)
		d.Revision, d.Age = 123_456_789, 1234*time.Millisecond
		d.Broadcast = &broadcast{Origin: "10.123.123.123:12345", DataCentre: "sapporo-main", Range: gossip.Range{First: 1 << 63, Last: 1<<64 - 1}}
		for i := range d.KnownHosts {
			d.KnownHosts[i].Age = 12_345_678_901
			d.KnownHosts[i].DataCentre = "sapporo-main"
		}
		data, err := json.Marshal(d)
		is.NoErr(err)
		const headers = 28 // IP and UDP.
		return float64(len(data) + headers)
	}
	const watchers = 2
	broadcasts := watchers / broadcastInterval.Seconds() * 2 * size(maxBroadcastKnownHosts)
	digests := digestFanout / digestInterval.Seconds() * 2 * size(maxKnownHosts)
	t.Logf("broadcast digest: %.0f bytes, other digest: %.0f bytes; %.0f and %.0f bytes per second", size(maxBroadcastKnownHosts), size(maxKnownHosts), broadcasts, digests)
	is.True(broadcasts+digests < maxDigestBytesPerSecond)
}
