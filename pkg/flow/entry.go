package flow

import "time"

// state is the state of a flow on one host.
type state uint8

const (
	// stateFree marks a slot of the slab that is on the free list.
	stateFree state = iota
	// statePinned: this host is the holder and has pinned the flow to a server.
	statePinned
	// stateRedirected: another host is the holder.
	stateRedirected
	// stateQuerying: this host waits for replies to its queries for the holder.
	stateQuerying
)

// entry is the table's record of a flow. It contains no pointers, so that the
// garbage collector does not scan the entries.
type entry struct {
	key Key
	// lastFromCaller and lastFromServer are the times of the last datagram in
	// each direction. lastFromServer is 0 until the first reply.
	lastFromCaller, lastFromServer time.Duration
	// stateSince is the time of the last change of state.
	stateSince time.Duration
	// exceptionCheckedAt is when the flow was last checked for being an
	// exception.
	exceptionCheckedAt time.Duration
	// target is the server of a pinned flow or the holder of a redirected one.
	target uint64
	// ingress is the host that received the flow's last datagram from the
	// caller and sends the replies to it, 0 for the fabric.
	ingress uint64
	// prev and next are the neighbors in the LRU list, -1 at its ends. In a
	// free slot, next links the free list.
	prev, next int32
	// unanswered counts the datagrams from the caller since the last reply. It
	// saturates.
	unanswered uint16
	state      state
	// closing is set if the last datagram from the caller had HintCloses.
	closing bool
}

// slab stores entries in a slice, finds them by key and links them in an LRU
// list, most recently used first.
type slab struct {
	entries    []entry
	index      map[Key]int32
	head, tail int32
	// freeList is the first free slot, -1 if there is none.
	freeList int32
}

func newSlab() slab {
	return slab{index: map[Key]int32{}, head: -1, tail: -1, freeList: -1}
}

// add creates an entry for the key at the front of the LRU list and returns
// its index.
func (s *slab) add(key Key) int32 {
	i := s.freeList
	if i >= 0 {
		s.freeList = s.entries[i].next
	} else {
		i = int32(len(s.entries))
		s.entries = append(s.entries, entry{})
	}
	s.entries[i] = entry{key: key, prev: -1, next: -1}
	s.index[key] = i
	s.pushFront(i)
	return i
}

// pushFront links an entry at the front of the LRU list.
func (s *slab) pushFront(i int32) {
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

// unlink takes an entry out of the LRU list.
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

// moveToFront makes an entry the most recently used.
func (s *slab) moveToFront(i int32) {
	if s.head == i {
		return
	}
	s.unlink(i)
	s.pushFront(i)
}

// remove deletes an entry and puts its slot on the free list.
func (s *slab) remove(i int32) {
	s.unlink(i)
	e := &s.entries[i]
	delete(s.index, e.key)
	*e = entry{next: s.freeList, prev: -1}
	s.freeList = i
}
