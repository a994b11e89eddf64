package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/pkg/admit"
)

func twoServers() []Server {
	return []Server{{ID: 1, Slots: 1, AcceptsNewWork: true}, {ID: 2, Slots: 1, AcceptsNewWork: true}}
}

func newRequest() *admit.Request {
	return &admit.Request{Caller: 7, Kind: "GET /", Deadline: time.Hour}
}

// A shed request shows that the slot is in use elsewhere. If the slot were free
// again immediately, the next request would be shed as well.
func TestShedSlotIsSuspended(t *testing.T) {
	is := is.New(t)
	d := New(Settings{Service: 1, Self: 9})
	var out Output
	d.Reconfigure(0, twoServers(), []uint64{9}, true, &out)
	is.Equal(d.Offer(0, newRequest(), &out), admit.Accepted)
	g := out.Grants[0]
	out.Reset()
	d.FinishShed(time.Millisecond, g, &out)
	is.Equal(d.Offer(time.Millisecond, newRequest(), &out), admit.Accepted)
	is.True(out.Grants[0].Slot.ID.Server != g.Slot.ID.Server)
	out.Reset()
	d.Offer(2*time.Millisecond, newRequest(), &out)
	is.Equal(len(out.Grants), 0) // The slot is still suspended.
	d.Tick(time.Second, &out)
	is.Equal(out.Grants[0].Slot.ID.Server, g.Slot.ID.Server)
}

// A server that no longer accepts new requests keeps none of its slots, although
// it stays in the list.
func TestDrainingServerGetsNoRequests(t *testing.T) {
	is := is.New(t)
	d := New(Settings{Service: 1, Self: 9})
	var out Output
	servers := twoServers()
	d.Reconfigure(0, servers, []uint64{9}, true, &out)
	servers[0].AcceptsNewWork = false
	d.Reconfigure(time.Second, servers, []uint64{9}, false, &out)
	for range 5 {
		d.Offer(time.Second, newRequest(), &out)
	}
	is.Equal(len(out.Grants), 1)
	is.Equal(out.Grants[0].Slot.ID.Server, uint64(2))
}

// A Dispatcher grants as many requests as there are free slots. The rest waits.
func ExampleDispatcher() {
	d := New(Settings{Service: 1, Self: 9})
	var out Output
	d.Reconfigure(0, twoServers(), []uint64{9}, true, &out)
	for range 3 {
		d.Offer(time.Second, newRequest(), &out)
	}
	fmt.Println("granted", len(out.Grants), "waiting", d.Queue().Len())
	first := out.Grants[0]
	out.Reset()
	d.Finish(2*time.Second, first, false, &out)
	fmt.Println("granted", len(out.Grants), "waiting", d.Queue().Len())
	// Output:
	// granted 2 waiting 1
	// granted 1 waiting 0
}
