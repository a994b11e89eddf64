package flow_test

import (
	"fmt"
	"net/netip"
	"time"

	"lagoonramp.org/lagoonramp/pkg/flow"
	"lagoonramp.org/lagoonramp/pkg/rendez"
)

// A host that is alone pins a caller's flow to a server and sends its
// datagrams there.
func ExampleTable() {
	self := rendez.Hash("host-1")
	service := rendez.Hash("entry-desk")
	server := rendez.Hash("entry-desk/server-1")
	t := flow.NewTable(flow.Settings{}, nil)
	t.SetView(0, &flow.View{Self: self, Active: []uint64{self}})
	t.SetServers(0, map[uint64]*flow.ServerSet{service: {Accepting: []uint64{server}}})

	key := flow.KeyOf(service, netip.MustParseAddrPort("192.0.2.7:5000"))
	for _, a := range t.HandleDatagram(time.Second, key, flow.HintNone, 0, []byte("hello"), nil) {
		switch a.Kind {
		case flow.Opened:
			fmt.Println("opened at the server:", a.Server == server)
		case flow.SendToServer:
			fmt.Printf("send %q\n", a.Payload)
		}
	}
	// Output:
	// opened at the server: true
	// send "hello"
}
