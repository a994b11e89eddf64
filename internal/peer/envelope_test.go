package peer

import (
	"bytes"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"lagoonramp.org/lagoonramp/pkg/flow"
)

var (
	oldKey = Key{ID: 1, Secret: []byte("old")}
	newKey = Key{ID: 2, Secret: []byte("new")}
)

func TestOpenRefusesInvalidDatagrams(t *testing.T) {
	good := func() []byte { return NewSealer(newKey, 5, 100, 0).Seal(nil, KindFlow, []byte("payload")) }
	resealed := func(kind Kind) []byte { return NewSealer(newKey, 5, 100, 0).Seal(nil, kind, nil) }
	cases := []struct {
		name string
		data []byte
		want error
	}{
		{"empty", nil, ErrTruncated},
		{"truncated", good()[:Overhead-1], ErrTruncated},
		{"truncated in the payload", good()[:len(good())-1], ErrForged},
		{"wrong magic number", append([]byte("xx"), good()[2:]...), ErrMagic},
		{"unknown version", append([]byte{0x4c, 0x52, 9}, good()[3:]...), ErrVersion},
		{"unknown key", NewSealer(Key{ID: 9, Secret: []byte("new")}, 5, 100, 0).Seal(nil, KindFlow, nil), ErrKey},
		{"forged", NewSealer(Key{ID: 2, Secret: []byte("guess")}, 5, 100, 0).Seal(nil, KindFlow, nil), ErrForged},
		{"unknown kind", resealed(maxKind + 1), ErrKind},
		{"kind 0", resealed(0), ErrKind},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, _, err := NewOpener([]Key{oldKey, newKey}).Open(c.data)
			is.True(errors.Is(err, c.want))
		})
	}
}

func TestOpenAcceptsEachKey(t *testing.T) {
	is := is.New(t)
	o := NewOpener([]Key{oldKey, newKey})
	for _, k := range []Key{oldKey, newKey} {
		h, p, err := o.Open(NewSealer(k, 5, 100+uint64(k.ID), 0).Seal(nil, KindSlots, []byte("x")))
		is.NoErr(err)
		is.Equal(h.From, uint64(5))
		is.Equal(string(p), "x")
	}
}

func TestReplayAndReordering(t *testing.T) {
	is := is.New(t)
	s := NewSealer(newKey, 5, 100, 0)
	o := NewOpener([]Key{newKey})
	var sent [][]byte
	for range 3 * replayWindowBits {
		sent = append(sent, s.Seal(nil, KindFlow, nil))
	}
	open := func(i int) error { _, _, err := o.Open(sent[i]); return err }
	is.NoErr(open(10))
	is.NoErr(open(3)) // Reordered, but new.
	is.True(errors.Is(open(3), ErrReplayed))
	is.True(errors.Is(open(10), ErrReplayed))
	is.NoErr(open(5000))
	is.True(errors.Is(open(11), ErrReplayed)) // Older than the window.
	is.NoErr(open(4000))
	is.NoErr(open(12000))
	is.NoErr(open(12000 - replayWindowBits + 1))
	earlier := NewSealer(newKey, 5, 99, 0).Seal(nil, KindFlow, nil)
	_, _, err := o.Open(earlier) // From an earlier process of the sender.
	is.True(errors.Is(err, ErrReplayed))
	_, _, err = o.Open(NewSealer(newKey, 5, 101, 0).Seal(nil, KindFlow, nil))
	is.NoErr(err)
}

func TestFlowEncoding(t *testing.T) {
	is := is.New(t)
	m := flow.Message{Kind: flow.Forward, From: 1, To: 2, Hops: 3, Redirected: true, Hint: flow.HintCloses,
		Ingress: 4, Holder: 5, Server: 6, Payload: []byte("data")}
	m.Key.Service = 7
	m.Key.Port = 8
	m.Key.Caller[3] = 9
	var got flow.Message
	is.NoErr(ParseFlow(AppendFlow(nil, &m), 1, 2, &got))
	is.Equal(got, m)
	is.Equal(ParseFlow(make([]byte, flowHeaderBytes), 1, 2, &got), ErrKind)
	is.Equal(ParseFlow(make([]byte, flowHeaderBytes-1), 1, 2, &got), ErrTruncated)
}

func TestCheckRequest(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := []struct {
		name string
		key  Key
		at   time.Time
		path string
		want error
	}{
		{"valid", newKey, now, "/peer/conf?have=1", nil},
		{"old key", oldKey, now, "/peer/conf?have=1", nil},
		{"replayed later", newKey, now.Add(-time.Minute), "/peer/conf?have=1", ErrReplayed},
		{"other path", newKey, now, "/peer/other", ErrForged},
		{"wrong secret", Key{ID: 2, Secret: []byte("guess")}, now, "/peer/conf?have=1", ErrForged},
		{"unknown key", Key{ID: 7}, now, "/peer/conf?have=1", ErrKey},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := httptest.NewRequest("GET", c.path, nil)
			SignRequest(r, c.key, c.at)
			r.URL.Path, r.URL.RawQuery = "/peer/conf", "have=1"
			err := CheckRequest(r, []Key{oldKey, newKey}, now)
			is.True(errors.Is(err, c.want))
		})
	}
}

func FuzzOpen(f *testing.F) {
	f.Add(NewSealer(newKey, 5, 100, 0).Seal(nil, KindFlow, AppendFlow(nil, &flow.Message{Kind: flow.Query})))
	f.Fuzz(func(t *testing.T, b []byte) {
		h, p, err := NewOpener([]Key{newKey}).Open(b)
		if err != nil {
			return
		}
		var m flow.Message
		if ParseFlow(p, h.From, 1, &m) == nil && !bytes.Equal(AppendFlow(nil, &m), p) && p[1]&^flagRedirected == 0 {
			t.Fatal("encoding a decoded flow message gives other bytes")
		}
	})
}

func BenchmarkSealAndOpen1200(b *testing.B) {
	s, o := NewSealer(newKey, 5, 100, 0), NewOpener([]Key{newKey})
	payload := make([]byte, 1200)
	buf := make([]byte, 0, 2048)
	b.ReportAllocs()
	for range b.N {
		buf = s.Seal(buf[:0], KindFlow, payload)
		if _, _, err := o.Open(buf); err != nil {
			b.Fatal(err)
		}
	}
}
