// Package peer encodes and decodes the binary frames that controllers exchange. Frames
// carry hints only: the program must not rely on a frame being delivered, delivered
// only once or delivered in time.
//
// # Layout
//
// A frame has the following layout. All integers are unsigned and big-endian. Package
// engine prefixes each frame with its length and limits that length.
//
//	frame:     version u8 (2) | kind u8 | label: length u8, bytes | body by kind
//	Heartbeat: kind 1 | flags u8 | token u64 | requests u16 | writes u16
//	Relay:     kind 2 | id u64 | data: length u32, bytes
//	RelayAck:  kind 3 | id u64 | status u16 | data: length u32, bytes
//	View:      kind 4 | revision u64
//
// The version in production knows no View and ignores it.
//
// The flags of a heartbeat are StateOK (bit 0) and IsLeader (bit 1). The other bits
// must be 0, and no bytes may follow the last field. Decode rejects any other input
// with a DecodeError.
package peer

// Kind is the kind of a frame.
type Kind uint8

// Kinds of frames.
const (
	// Heartbeat reports that its sender is alive, and the sender's view of the cluster.
	Heartbeat Kind = 1
	// Relay carries a worker's heartbeat that reached the sender instead of the leader.
	Relay Kind = 2
	// RelayAck carries the leader's response to a Relay.
	RelayAck Kind = 3
	// View tells up to which revision the watch cache of the sender was complete while it was
	// the leader and its lease was valid. The statement remains true, however late the frame
	// arrives.
	View Kind = 4
)

// version is the first byte of each frame. A controller rejects frames of any
// other version.
const version = 2

// Flags of a heartbeat.
const (
	flagStateOK  byte = 1 << 0
	flagIsLeader byte = 1 << 1
	knownFlags        = flagStateOK | flagIsLeader
)

// Frame is a decoded frame. Its kind determines which fields are used.
type Frame struct {
	Kind  Kind
	Label string // label of the sender, at most 255 bytes

	// Fields of a Heartbeat:

	StateOK      bool // whether the sender can reach the state service
	IsLeader     bool
	FencingToken uint64
	// Requests and Writes are the shares of the state service's request and write
	// rates that the sender could use, per second.
	Requests, Writes uint16

	// Fields of a Relay and its RelayAck:

	ID     uint64 // chosen by the sender of the Relay
	Status uint16 // HTTP status, only in a RelayAck
	Body   []byte // body of the HTTP request or response

	// Field of a View:

	Revision uint64 // revision of the state service
}
