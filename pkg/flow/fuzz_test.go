package flow

import (
	"testing"
	"time"
)

// FuzzTable feeds a table with datagrams, messages, answers and time in any
// order. Its counts must stay right and its state bounded.
func FuzzTable(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 200, 100, 50})
	f.Fuzz(func(t *testing.T, steps []byte) {
		h := names("host", 3)
		tab := NewTable(Settings{MaxEntries: 8}, nil)
		tab.SetServers(0, serverSets(names("server", 3)))
		tab.SetView(0, &View{Self: h[0], Active: sortedIDs(h...)})
		now := time.Duration(0)
		held := 0
		for i, b := range steps {
			k := key(int(b % 16))
			var out []Action
			switch b / 32 {
			case 0, 1:
				out = tab.HandleDatagram(now, k, Hint(b%3), 0, []byte{b}, nil)
			case 2:
				tab.RecordReply(now, k)
			case 3:
				out = tab.Tick(now, nil)
			default:
				m := Message{Kind: MessageKind(b%5) + 1, From: h[1+i%2], To: h[0], Key: k, Hops: b % 7,
					Redirected: b%2 == 0, Holder: h[i%3], Payload: steps[:i]}
				out = tab.HandleMessage(now, &m, nil)
			}
			now += time.Duration(b) * 40 * time.Millisecond
			for _, a := range out {
				switch a.Kind {
				case Opened:
					held++
				case Ended:
					held--
				case SendToHost:
					if a.Message.To == h[0] || a.Message.Hops > maxHops+1 {
						t.Fatal("a message goes nowhere", a.Message)
					}
				}
			}
			if tab.PinnedFlows() != held || tab.Len() > 8 {
				t.Fatalf("held %d, counted %d, entries %d", tab.PinnedFlows(), held, tab.Len())
			}
		}
	})
}
