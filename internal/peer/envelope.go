package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"hash"
)

// Kind is the kind of a datagram's payload.
type Kind uint8

// The kinds of payloads.
const (
	// KindMember is a memb.Message in JSON.
	KindMember Kind = iota + 1
	// KindFlow is a flow.Message in the fixed form of AppendFlow.
	KindFlow
	// KindSlots is a slots.Message in JSON.
	KindSlots
	// KindNotice is a spread notice in JSON.
	KindNotice
	// KindReturn is a flow.Message that carries an answer to the host that
	// faces the caller.
	KindReply

	lastKind = KindReply
)

const (
	magic       = 0x4c52
	version     = 1
	headerBytes = 32
	tagBytes    = 16
	// Overhead is what an envelope adds to a payload, in bytes.
	Overhead = headerBytes + tagBytes
	// MaxDatagram bounds a sealed datagram, in bytes.
	MaxDatagram = 65507
	// windowBits is how far back in a sender's counter a late datagram may
	// be.
	windowBits = 4096
)

// The reasons why a datagram is refused.
var (
	ErrTruncated = errors.New("the datagram is truncated")
	ErrMagic     = errors.New("the datagram is not one of this system")
	ErrVersion   = errors.New("the datagram has an unknown version")
	ErrKey       = errors.New("the datagram's key is not known")
	ErrForged    = errors.New("the datagram's tag is wrong")
	ErrReplayed  = errors.New("the datagram was received before")
	ErrKind      = errors.New("the datagram's kind is not known")
)

// Key is a shared secret of the hosts.
type Key struct {
	ID     uint8
	Secret []byte
}

// Header is what an envelope says of its datagram.
type Header struct {
	Kind Kind
	// From is the sender.
	From uint64
	// Start is when the sender's process started, in nanoseconds of wall
	// time.
	Start uint64
	// Counter grows with each datagram of the sender.
	Counter uint64
}

// Sealer seals datagrams. It belongs to one goroutine; several sealers of a
// host share no counter and so must differ in Lane.
type Sealer struct {
	key     uint8
	mac     hash.Hash
	from    uint64
	start   uint64
	counter uint64
	lane    uint8
	sum     [sha256.Size]byte
}

// NewSealer returns a sealer that uses a key. The lane tells the host's
// sealers apart.
func NewSealer(k Key, from, start uint64, lane uint8) *Sealer {
	return &Sealer{key: k.ID, mac: hmac.New(sha256.New, k.Secret), from: from, start: start, lane: lane}
}

// Begin appends room for a header to dst. The payload is appended next.
func (s *Sealer) Begin(dst []byte) []byte {
	var room [headerBytes]byte
	return append(dst, room[:]...)
}

// End fills the header of the datagram that begins at dst[at:] and appends
// the tag.
func (s *Sealer) End(dst []byte, at int, kind Kind) []byte {
	h := dst[at : at+headerBytes]
	s.counter++
	binary.BigEndian.PutUint16(h[0:], magic)
	h[2] = version
	h[3] = s.key
	h[4] = byte(kind)
	h[5] = s.lane
	h[6], h[7] = 0, 0
	binary.BigEndian.PutUint64(h[8:], s.from)
	binary.BigEndian.PutUint64(h[16:], s.start)
	binary.BigEndian.PutUint64(h[24:], s.counter)
	s.mac.Reset()
	s.mac.Write(dst[at:])
	return append(dst, s.mac.Sum(s.sum[:0])[:tagBytes]...)
}

// Seal appends a sealed datagram to dst.
func (s *Sealer) Seal(dst []byte, kind Kind, payload []byte) []byte {
	at := len(dst)
	dst = s.Begin(dst)
	dst = append(dst, payload...)
	return s.End(dst, at, kind)
}

// Opener checks datagrams. It belongs to one goroutine.
type Opener struct {
	macs    map[uint8]hash.Hash
	senders map[sender]*window
	sum     [sha256.Size]byte
}

type sender struct {
	from uint64
	lane uint8
}

// NewOpener returns an opener that accepts the keys.
func NewOpener(keys []Key) *Opener {
	o := &Opener{macs: map[uint8]hash.Hash{}, senders: map[sender]*window{}}
	for _, k := range keys {
		o.macs[k.ID] = hmac.New(sha256.New, k.Secret)
	}
	return o
}

// Open checks a datagram and returns its payload, which shares memory with b.
func (o *Opener) Open(b []byte) (Header, []byte, error) {
	if len(b) < Overhead {
		return Header{}, nil, ErrTruncated
	}
	if binary.BigEndian.Uint16(b) != magic {
		return Header{}, nil, ErrMagic
	}
	if b[2] != version {
		return Header{}, nil, fmt.Errorf("%w %d", ErrVersion, b[2])
	}
	mac := o.macs[b[3]]
	if mac == nil {
		return Header{}, nil, ErrKey
	}
	end := len(b) - tagBytes
	mac.Reset()
	mac.Write(b[:end])
	if !hmac.Equal(mac.Sum(o.sum[:0])[:tagBytes], b[end:]) {
		return Header{}, nil, ErrForged
	}
	h := Header{
		Kind:    Kind(b[4]),
		From:    binary.BigEndian.Uint64(b[8:]),
		Start:   binary.BigEndian.Uint64(b[16:]),
		Counter: binary.BigEndian.Uint64(b[24:]),
	}
	if h.Kind == 0 || h.Kind > lastKind {
		return h, nil, ErrKind
	}
	if !o.window(sender{h.From, b[5]}).take(h.Start, h.Counter) {
		return h, nil, ErrReplayed
	}
	return h, b[headerBytes:end], nil
}

func (o *Opener) window(s sender) *window {
	w := o.senders[s]
	if w == nil {
		w = &window{}
		o.senders[s] = w
	}
	return w
}

// window remembers which counters of a sender's latest process were seen.
type window struct {
	start, top uint64
	seen       [windowBits / 64]uint64
}

// take reports whether a counter is new, and remembers it.
func (w *window) take(start, counter uint64) bool {
	if start < w.start {
		return false
	}
	if start > w.start {
		*w = window{start: start}
	}
	if counter > w.top {
		if counter-w.top >= windowBits {
			clear(w.seen[:])
		} else {
			for c := w.top + 1; c < counter; c++ {
				w.seen[c%windowBits/64] &^= 1 << (c % 64)
			}
		}
		w.top = counter
	} else if w.top-counter >= windowBits || w.seen[counter%windowBits/64]&(1<<(counter%64)) != 0 {
		return false
	}
	w.seen[counter%windowBits/64] |= 1 << (counter % 64)
	return true
}
