package slots

// ID identifies a slot of a server.
type ID struct {
	// Server is the hash of the server's name.
	Server uint64 `json:"server"`
	// Index is the index of the slot at its server, from 0.
	Index int `json:"index"`
}

// MessageKind is the kind of a Message.
type MessageKind uint8

// The kinds of messages.
const (
	// BorrowRequest requests up to Message.MaxSlots slots.
	BorrowRequest MessageKind = iota + 1
	// BorrowReply answers a BorrowRequest: it lends the listed slots. An empty
	// list is a refusal.
	BorrowReply
	// Return gives borrowed slots back to their lender.
	Return
	// Renew renews the leases of borrowed slots.
	Renew
	// Handover notifies the new owner of slots that the former owner no longer
	// uses them.
	Handover
)

// Message is a message from one host to another.
type Message struct {
	Kind MessageKind `json:"kind"`
	From uint64      `json:"from"`
	To   uint64      `json:"to"`
	// Service is the hash of the service's name.
	Service uint64 `json:"service"`
	// Serial matches a BorrowReply to its BorrowRequest.
	Serial uint64 `json:"serial,omitempty"`
	// MaxSlots is the maximum number of slots that a BorrowRequest requests.
	MaxSlots int  `json:"need,omitempty"`
	Slots    []ID `json:"slots,omitempty"`
}
