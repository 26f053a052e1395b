// Package peer is the codec of the binary link between controllers. Frames carry
// hints only: nothing may depend on a frame arriving, arriving once or arriving
// in time.
package peer

import (
	"encoding/binary"
	"errors"
)

// Kind is the kind of a frame.
type Kind uint8

// The kinds.
const (
	// Heartbeat says that its sender is alive, and what it sees.
	Heartbeat Kind = 1
	// Relay carries a worker's report that reached the sender instead of the leader.
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

	StateOK      bool // the sender reaches the state service
	IsLeader     bool
	FencingToken uint64
	// Requests and Writes are what the sender could use of the state service's
	// rates, per second.
	Requests, Writes uint16

	// Of a Relay and its RelayAck:

	ID     uint64 // chosen by the sender of the Relay
	Status uint16 // HTTP status, of a RelayAck alone
	Body   []byte // of the HTTP request or answer
}

// ErrBad is returned for anything that is not a frame of this version.
var ErrBad = errors.New("bad frame")

// Append appends the encoded frame to dst. All integers are big-endian.
//
//	version u8 | kind u8 | label: length u8, bytes | body
//	Heartbeat: flags u8 | token u64 | requests u16 | writes u16
//	Relay:    id u64 | bytes: length u32, bytes
//	RelayAck: id u64 | status u16 | bytes: length u32, bytes
func Append(dst []byte, f *Frame) []byte {
	labelLength := byte(len(f.Label))
	dst = append(dst, version, byte(f.Kind), labelLength)
	dst = append(dst, f.Label[:labelLength]...)
	switch f.Kind {
	case Heartbeat:
		dst = appendHeartbeat(dst, f)
	case Relay:
		dst = binary.BigEndian.AppendUint64(dst, f.ID)
		dst = appendBytes(dst, f.Body)
	case RelayAck:
		dst = binary.BigEndian.AppendUint64(dst, f.ID)
		dst = binary.BigEndian.AppendUint16(dst, f.Status)
		dst = appendBytes(dst, f.Body)
	}
	return dst
}

func appendHeartbeat(dst []byte, f *Frame) []byte {
	var flags byte
	if f.StateOK {
		flags |= flagStateOK
	}
	if f.IsLeader {
		flags |= flagIsLeader
	}
	dst = append(dst, flags)
	dst = binary.BigEndian.AppendUint64(dst, f.FencingToken)
	dst = binary.BigEndian.AppendUint16(dst, f.Requests)
	return binary.BigEndian.AppendUint16(dst, f.Writes)
}

func appendBytes(dst, data []byte) []byte {
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(data)))
	return append(dst, data...)
}

// Decode decodes the one frame that in consists of. Its Body points into in.
func Decode(in []byte) (Frame, error) {
	var f Frame
	r := reader{in: in}
	if r.u8() != version {
		return f, ErrBad
	}
	f.Kind = Kind(r.u8())
	f.Label = string(r.take(int(r.u8())))
	switch f.Kind {
	case Heartbeat:
		flags := r.u8()
		if flags&^knownFlags != 0 {
			return f, ErrBad
		}
		f.StateOK = flags&flagStateOK != 0
		f.IsLeader = flags&flagIsLeader != 0
		f.FencingToken = r.u64()
		f.Requests = r.u16()
		f.Writes = r.u16()
	case Relay:
		f.ID = r.u64()
		f.Body = r.take(int(r.u32()))
	case RelayAck:
		f.ID = r.u64()
		f.Status = r.u16()
		f.Body = r.take(int(r.u32()))
	default:
		return f, ErrBad
	}
	if r.short || len(r.in) != 0 {
		return f, ErrBad
	}
	return f, nil
}

// reader takes integers and bytes off the front of its input. Once something
// does not fit it is short for good, and yields zeros.
type reader struct {
	in    []byte
	short bool
}

func (r *reader) take(n int) []byte {
	if n < 0 || n > len(r.in) {
		r.short = true
		r.in = nil
		return nil
	}
	b := r.in[:n]
	r.in = r.in[n:]
	return b
}

func (r *reader) u8() byte {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) u16() uint16 {
	if b := r.take(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (r *reader) u32() uint32 {
	if b := r.take(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (r *reader) u64() uint64 {
	if b := r.take(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}
