package warmup

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// maxSends returns, by counting, the maximum number of flows that k hosts send in
// any half-open second if each sends one every spacing.
func maxSends(k int, spacing time.Duration) int {
	n := 0
	for at := time.Duration(0); at < time.Second; at += spacing {
		n += k
	}
	return n
}

// slowShare is a reference implementation of Share: the largest number of hosts
// that fits.
func slowShare(s Settings, perSecond float64, hosts int) int {
	best := 0
	for k := 1; k <= hosts; k++ {
		spacing := time.Duration(math.Ceil(float64(k) / (0.95 * perSecond) * 1e9))
		if float64(maxSends(k, spacing)) <= s.Bound(perSecond)-max(1, s.Bound(perSecond)/4) {
			best = k
		}
	}
	return best
}

func TestShareAgreesWithReference(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(1, 9))
	settings := []Settings{{}, {Overage: 1.5, Slack: 5}, {Overage: 3}, {Slack: 1}, {Overage: 1.1, Slack: 40}}
	for i := range 400 {
		s := settings[i%len(settings)]
		perSecond := 0.05 * math.Exp(rng.Float64()*math.Log(4000))
		hosts := 1 + rng.IntN(600)
		k, spacing := s.Share(perSecond, hosts)
		is.Equal(k, slowShare(s, perSecond, hosts))
		if k > 0 {
			sent := float64(k) / spacing.Seconds()
			is.True(sent <= 0.95*perSecond+1e-6)
			is.True(sent >= 0.949*perSecond)
		}
	}
}

func TestShareOfUnusualInput(t *testing.T) {
	s := Settings{Overage: 1.5, Slack: 5}
	for name, c := range map[string]struct {
		settings  Settings
		perSecond float64
		hosts     int
		want      int
	}{
		"no bound above the rate": {Settings{}, 10, 7, 0},
		"no hosts":                {s, 10, 0, 0},
		"no rate":                 {s, 0, 7, 0},
		"negative rate":           {s, -1, 7, 0},
		"not a number":            {s, math.NaN(), 7, 0},
		"infinite rate":           {s, math.Inf(1), 7, 0},
		"huge rate":               {s, 1e300, 7, 7},
		"tiny rate":               {s, 1e-300, 7, 0},
		"small rate":              {s, 0.3, 540, 4},
		"large rate":              {s, 60, 540, 71},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, _ := c.settings.Share(c.perSecond, c.hosts)
			is.Equal(got, c.want)
		})
	}
}

func TestRankIsPosition(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(2, 9))
	hosts := make([]uint64, 40)
	for i := range hosts {
		hosts[i] = rng.Uint64()
	}
	var ranks []int
	for _, h := range hosts {
		ranks = append(ranks, Rank(h, hosts, "server"))
		is.Equal(IsFeeder(h, hosts, "server", 5), ranks[len(ranks)-1] < 5)
	}
	slices.Sort(ranks)
	for i, r := range ranks {
		is.Equal(r, i)
	}
	is.True(!IsFeeder(hosts[0], hosts, "server", 0))
}
