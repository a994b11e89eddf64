package flow

import "time"

// state is what a host knows of a flow.
type state uint8

const (
	free state = iota
	held
	redirected
	asking
)

// entry is a flow in the table. It has no pointers.
type entry struct {
	key Key
	// lastIn and lastOut are the times of the last datagram from the caller
	// and from the server; lastOut is 0 until the first answer.
	lastIn, lastOut time.Duration
	// since is when the entry took its state.
	since time.Duration
	// told is when exceptions for the flow were last considered.
	told time.Duration
	// peer is the server of a held flow or the holder of a redirected one.
	peer uint64
	// ingress is the host that answers the caller, 0 for the fabric.
	ingress uint64
	// prev and next link entries in order of use, -1 at the ends.
	prev, next int32
	// unanswered counts datagrams since the last answer.
	unanswered uint16
	state      state
	closing    bool
}

// slab stores entries and links them in order of use, latest first.
type slab struct {
	entries    []entry
	index      map[Key]int32
	head, tail int32
	unused     int32
}

func newSlab() slab {
	return slab{index: map[Key]int32{}, head: -1, tail: -1, unused: -1}
}

// add makes an entry for the key at the head and returns its index.
func (s *slab) add(key Key) int32 {
	i := s.unused
	if i >= 0 {
		s.unused = s.entries[i].next
	} else {
		i = int32(len(s.entries))
		s.entries = append(s.entries, entry{})
	}
	s.entries[i] = entry{key: key, prev: -1, next: -1}
	s.index[key] = i
	s.link(i)
	return i
}

func (s *slab) link(i int32) {
	e := &s.entries[i]
	e.prev = -1
	e.next = s.head
	if s.head >= 0 {
		s.entries[s.head].prev = i
	}
	s.head = i
	if s.tail < 0 {
		s.tail = i
	}
}

func (s *slab) unlink(i int32) {
	e := &s.entries[i]
	if e.prev >= 0 {
		s.entries[e.prev].next = e.next
	} else {
		s.head = e.next
	}
	if e.next >= 0 {
		s.entries[e.next].prev = e.prev
	} else {
		s.tail = e.prev
	}
}

// toHead moves an entry to the head.
func (s *slab) toHead(i int32) {
	if s.head == i {
		return
	}
	s.unlink(i)
	s.link(i)
}

func (s *slab) remove(i int32) {
	s.unlink(i)
	e := &s.entries[i]
	delete(s.index, e.key)
	*e = entry{next: s.unused, prev: -1}
	s.unused = i
}
