package memb

import (
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"
)

// FuzzReceive passes arbitrary messages to a machine. It checks that the machine
// does not panic, adds no members that the messages do not name, and always
// considers its own host alive.
func FuzzReceive(f *testing.F) {
	for _, m := range []Message{
		{Kind: Ping, From: Member{Name: "b", Address: "b", Incarnation: 3, Health: Alive}, Sequence: 1},
		{Kind: Sync, From: Member{Name: "b", Address: "b"}, Updates: []Member{{Name: "a", Health: Dead, Incarnation: 9}}, WantReply: true},
		{Kind: Sync, From: Member{Name: "b", Address: "b"}, Updates: []Member{{Name: "a", Health: Dead, Incarnation: 1<<64 - 1}}},
		{Kind: PingRequest, From: Member{Name: "b", Address: "b"}, Target: "c"},
	} {
		data, err := json.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m Message
		if json.Unmarshal(data, &m) != nil {
			return
		}
		a := New(Member{Name: "a", Address: "a", Incarnation: 1}, Settings{}, rand.New(rand.NewPCG(1, 1)))
		for i := range 3 {
			a.Receive(time.Duration(i)*time.Second, &m)
			a.Tick(time.Duration(i)*time.Second + time.Millisecond)
		}
		if a.Self().Incarnation == 0 || a.Self().Health != Alive {
			t.Fatal("the host does not consider itself alive")
		}
		if len(a.Members()) > len(m.Updates)+1 {
			t.Fatal("the list has members that no message named")
		}
	})
}
