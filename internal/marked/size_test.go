package marked

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/pkg/gossip"
)

// The target that a host's digests have to fit, in bytes a second, both ways.
const controlBytes = 9000

// TestDigestsFitTheTarget works out what the digests of 540 hosts in six data
// centres cost an ordinary host: it gets a round of each watcher and hands one on
// in the mean, and tells and hears a few others.
func TestDigestsFitTheTarget(t *testing.T) {
	is := is.New(t)
	p, c := newTestPeers(t, 90)
	size := func(known int) float64 {
		d := p.digest(time.Minute, c, known)
		d.Revision, d.Age = 123_456_789, 1234*time.Millisecond
		d.Round = &round{Origin: "10.123.123.123:12345", DataCentre: "sapporo-main", Part: gossip.Range{First: 1 << 63, Last: 1<<64 - 1}}
		for i := range d.Known {
			d.Known[i].Age = 12_345_678_901
			d.Known[i].DataCentre = "sapporo-main"
		}
		data, err := json.Marshal(d)
		is.NoErr(err)
		const headers = 28 // IP and UDP.
		return float64(len(data) + headers)
	}
	const watchers = 2
	rounds := watchers / watcherDigests.Seconds() * 2 * size(roundKnown)
	others := otherFanout / otherDigests.Seconds() * 2 * size(digestKnown)
	t.Logf("a round's digest %.0f bytes, another %.0f; %.0f and %.0f bytes a second", size(roundKnown), size(digestKnown), rounds, others)
	is.True(rounds+others < controlBytes)
}
