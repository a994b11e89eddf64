package event

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestRingIsBoundedAndCoalescesBursts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := NewRing("h1", "sapporo")
		for range 10 {
			r.Add(Event{Kind: Shed, Service: "desk"})
		}
		r.Add(Event{Kind: Shed, Service: "press"})
		time.Sleep(2 * time.Second)
		r.Add(Event{Kind: Shed, Service: "desk"})
		all, _ := r.List(Filter{})
		is.Equal(len(all), 3)
		is.Equal(all[0].Count, 10)
		for range 3 * defaultMaxEvents {
			r.Add(Event{Kind: Joined})
		}
		all, _ = r.List(Filter{})
		is.True(len(all) <= defaultMaxEvents)
		is.Equal(all[len(all)-1].Sequence, uint64(3+3*defaultMaxEvents))
	})
}

func TestFilterAndMerge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := NewRing("a", "x"), NewRing("b", "x")
		a.Add(Event{Kind: Draining, Server: "s1"})
		time.Sleep(time.Second)
		b.Add(Event{Kind: Adopted, Revision: 2})
		time.Sleep(time.Second)
		a.Add(Event{Kind: Drained, Server: "s1"})
		la, _ := a.List(Filter{})
		lb, _ := b.List(Filter{Kind: Adopted})
		merged := Merge(la, lb)
		is.Equal(merged[0].Kind, Draining)
		is.Equal(merged[1].Kind, Adopted)
		is.Equal(merged[2].Kind, Drained)
		after, _ := a.List(Filter{After: 1})
		is.Equal(len(after), 1)
	})
}
