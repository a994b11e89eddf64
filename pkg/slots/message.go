package slots

// ID names one slot of one server.
type ID struct {
	// Server is the hash of the server's name.
	Server uint64 `json:"server"`
	// Index counts the server's slots from 0.
	Index int `json:"index"`
}

// MessageKind is the kind of a Message.
type MessageKind uint8

// The kinds of messages.
const (
	// Want asks for up to Need slots.
	BorrowRequest MessageKind = iota + 1
	// Grant lends the listed slots; an empty list refuses.
	BorrowReply
	// Return gives slots back.
	Return
	// Renew says that borrowed slots are still in use.
	Renew
	// Handover says that the former home of slots does not use them any more.
	Handover
)

// Message goes from one host to another.
type Message struct {
	Kind MessageKind `json:"kind"`
	From uint64      `json:"from"`
	To   uint64      `json:"to"`
	// Service is the hash of the service's name.
	Service uint64 `json:"service"`
	// Serial links a Grant to its Want.
	Serial   uint64 `json:"serial,omitempty"`
	MaxSlots int    `json:"need,omitempty"`
	Slots    []ID   `json:"slots,omitempty"`
}
