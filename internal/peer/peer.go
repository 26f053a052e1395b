// Package peer is the codec of the binary link between controllers. Frames carry
// hints only: nothing may depend on a frame arriving, arriving once or arriving
// in time.
//
// # Layout
//
// A frame is laid out as follows; all integers are unsigned and big-endian. Package
// engine puts each frame behind its length, and bounds that.
//
//	frame:     version u8 (2) | kind u8 | label: length u8, bytes | body by kind
//	Heartbeat: kind 1 | flags u8 | token u64 | requests u16 | writes u16
//	Relay:     kind 2 | id u64 | data: length u32, bytes
//	RelayAck:  kind 3 | id u64 | status u16 | data: length u32, bytes
//
// The flags of a heartbeat are StateOK (bit 0) and IsLeader (bit 1); the others are 0.
// A frame ends with its last field. Anything else is refused with a DecodeError.
package peer

// Kind is the kind of a frame.
type Kind uint8

// The kinds.
const (
	// Heartbeat says that its sender is alive, and what it sees.
	Heartbeat Kind = 1
	// Relay carries a worker's heartbeat that reached the sender instead of the leader.
	Relay Kind = 2
	// RelayAck carries the leader's answer to a Relay.
	RelayAck Kind = 3
)

// version is the first byte of each frame. A controller refuses frames of any
// other version.
const version = 2

// The flags of a heartbeat.
const (
	flagStateOK  byte = 1 << 0
	flagIsLeader byte = 1 << 1
	knownFlags        = flagStateOK | flagIsLeader
)

// Frame is a decoded frame. Which fields count depends on its kind.
type Frame struct {
	Kind  Kind
	Label string // of the sender, at most 255 bytes

	// Of a Heartbeat:

	StateOK      bool // the sender reaches the key-value store
	IsLeader     bool
	FencingToken uint64
	// Requests and Writes are what the sender could use of the key-value store's
	// rates, per second.
	Requests, Writes uint16

	// Of a Relay and its RelayAck:

	ID     uint64 // chosen by the sender of the Relay
	Status uint16 // HTTP status, of a RelayAck alone
	Body   []byte // of the HTTP request or answer
}
