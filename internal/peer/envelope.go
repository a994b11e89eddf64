package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"hash"
)

// Kind is the kind of the payload of a datagram.
type Kind uint8

// The kinds of payloads.
const (
	// KindMember is a memb.Message, a membership message, in JSON.
	KindMember Kind = iota + 1
	// KindFlow is a flow.Message as encoded by AppendFlow.
	KindFlow
	// KindSlots is a slots.Message in JSON.
	KindSlots
	// KindNotice is a wire.RevisionNotice in JSON.
	KindNotice
	// KindReply is a flow.Message, as encoded by AppendFlow, that carries a
	// server's reply to the ingress host, which sends it to the caller.
	KindReply

	maxKind = KindReply
)

const (
	// magic is the start of each datagram: LR in ASCII.
	magic       = 0x4c52
	version     = 1
	headerBytes = 32
	// tagBytes is the length of the HMAC-SHA-256 tag, which is truncated.
	tagBytes = 16
	// Overhead is the number of bytes that the header and the tag add to a
	// payload.
	Overhead = headerBytes + tagBytes
	// MaxDatagram is the maximum length of a sealed datagram in bytes, which is
	// the maximum payload of UDP over IPv4.
	MaxDatagram = 65507
	// replayWindowBits is the size of the replay window: a datagram whose counter
	// is this far or farther behind the sender's highest one is refused.
	replayWindowBits = 4096
)

// Errors returned by Open, ParseFlow and CheckRequest.
var (
	ErrTruncated = errors.New("the datagram is truncated")
	ErrMagic     = errors.New("the datagram has a wrong magic number")
	ErrVersion   = errors.New("the datagram has an unknown version")
	ErrKey       = errors.New("the datagram's key is not known")
	ErrForged    = errors.New("the datagram's tag is wrong")
	ErrReplayed  = errors.New("the datagram was received before")
	ErrKind      = errors.New("the datagram has an unknown kind")
)

// Key is a secret that all hosts share. ID selects the key of a message.
type Key struct {
	ID     uint8
	Secret []byte
}

// Header is the authenticated header of a datagram.
type Header struct {
	Kind Kind
	// From is the ID of the sending host.
	From uint64
	// Start is the start time of the sender's process as Unix time in
	// nanoseconds.
	Start uint64
	// Counter is incremented by the sender with each datagram.
	Counter uint64
}

// Sealer seals datagrams: it adds a header and an authentication tag to a
// payload. It is not safe for concurrent use. Each sealer has a counter of its
// own, so that the sealers of a host must differ in their sealer IDs.
type Sealer struct {
	keyID    uint8
	mac      hash.Hash
	from     uint64
	start    uint64
	counter  uint64
	sealerID uint8
	sum      [sha256.Size]byte
}

// NewSealer returns a sealer that uses the key k for the host with the ID from,
// whose process started at the time start. The sealerID is unique among the
// sealers of the host.
func NewSealer(k Key, from, start uint64, sealerID uint8) *Sealer {
	return &Sealer{keyID: k.ID, mac: hmac.New(sha256.New, k.Secret), from: from, start: start, sealerID: sealerID}
}

// Begin appends a blank header to dst. The caller appends the payload and then
// calls End.
func (s *Sealer) Begin(dst []byte) []byte {
	var header [headerBytes]byte
	return append(dst, header[:]...)
}

// End completes the datagram that begins at dst[offset:]: it fills in the
// header and appends the tag.
func (s *Sealer) End(dst []byte, offset int, kind Kind) []byte {
	h := dst[offset : offset+headerBytes]
	s.counter++
	binary.BigEndian.PutUint16(h[0:], magic)
	h[2] = version
	h[3] = s.keyID
	h[4] = byte(kind)
	h[5] = s.sealerID
	h[6], h[7] = 0, 0
	binary.BigEndian.PutUint64(h[8:], s.from)
	binary.BigEndian.PutUint64(h[16:], s.start)
	binary.BigEndian.PutUint64(h[24:], s.counter)
	s.mac.Reset()
	s.mac.Write(dst[offset:])
	return append(dst, s.mac.Sum(s.sum[:0])[:tagBytes]...)
}

// Seal appends a sealed datagram with the payload to dst.
func (s *Sealer) Seal(dst []byte, kind Kind, payload []byte) []byte {
	offset := len(dst)
	dst = s.Begin(dst)
	dst = append(dst, payload...)
	return s.End(dst, offset, kind)
}

// Opener verifies sealed datagrams. It is not safe for concurrent use.
type Opener struct {
	macs    map[uint8]hash.Hash
	windows map[sender]*replayWindow
	sum     [sha256.Size]byte
}

// sender identifies a sealer among those of all hosts.
type sender struct {
	from     uint64
	sealerID uint8
}

// NewOpener returns an opener that accepts datagrams sealed with any of the
// keys.
func NewOpener(keys []Key) *Opener {
	o := &Opener{macs: map[uint8]hash.Hash{}, windows: map[sender]*replayWindow{}}
	for _, k := range keys {
		o.macs[k.ID] = hmac.New(sha256.New, k.Secret)
	}
	return o
}

// Open verifies a datagram and returns its header and its payload, which shares
// memory with b. It refuses replayed datagrams.
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
	if h.Kind == 0 || h.Kind > maxKind {
		return h, nil, ErrKind
	}
	if !o.windowOf(sender{h.From, b[5]}).accept(h.Start, h.Counter) {
		return h, nil, ErrReplayed
	}
	return h, b[headerBytes:end], nil
}

// windowOf returns the replay window of a sender and creates it if needed.
func (o *Opener) windowOf(s sender) *replayWindow {
	w := o.windows[s]
	if w == nil {
		w = &replayWindow{}
		o.windows[s] = w
	}
	return w
}

// replayWindow records which counters were received from the latest process of
// a sender. Bit counter%replayWindowBits of seen is set for each received
// counter in the window that ends at highest.
type replayWindow struct {
	start, highest uint64
	seen           [replayWindowBits / 64]uint64
}

// accept reports whether a counter is new, and records it. Datagrams of an
// earlier process and those older than the window are never new.
func (w *replayWindow) accept(start, counter uint64) bool {
	if start < w.start {
		return false
	}
	if start > w.start {
		*w = replayWindow{start: start}
	}
	if counter > w.highest {
		if counter-w.highest >= replayWindowBits {
			clear(w.seen[:])
		} else {
			for c := w.highest + 1; c < counter; c++ {
				w.seen[c%replayWindowBits/64] &^= 1 << (c % 64)
			}
		}
		w.highest = counter
	} else if w.highest-counter >= replayWindowBits || w.seen[counter%replayWindowBits/64]&(1<<(counter%64)) != 0 {
		return false
	}
	w.seen[counter%replayWindowBits/64] |= 1 << (counter % 64)
	return true
}
