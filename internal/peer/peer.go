// Package peer is the binary link between controllers. It carries hints only:
// no rule rests on a frame arriving, arriving once or arriving in time.
package peer

import (
	"encoding/binary"
	"errors"
)

// Kind of a frame.
type Kind uint8

// The kinds.
const (
	Heartbeat Kind = 1 // I am alive, and this is what I see
	Relay     Kind = 2 // a worker's report that reached me instead of the leader
	RelayAck  Kind = 3 // the leader's answer to it
)

const version = 2

// Frame is a decoded frame.
type Frame struct {
	Kind  Kind
	Label string // sender

	// Heartbeat
	StateOK      bool
	IsLeader     bool
	FencingToken uint64
	// What it could use of the state service's rates, per second.
	Requests, Writes uint16

	// Relay, RelayAck
	ID     uint64
	Status uint16
	Body   []byte
}

// ErrBad is returned for anything that is not a frame of ours.
var ErrBad = errors.New("bad frame")

// Append writes the frame to dst.
//
//	version u8 | kind u8 | label: len u8, bytes | body
//	Heartbeat: flags u8 | token u64 | requests u16 | writes u16
//	Relay:    id u64 | bytes: len u32, bytes
//	RelayAck: id u64 | status u16 | bytes: len u32, bytes
func Append(dst []byte, f *Frame) []byte {
	dst = append(dst, version, byte(f.Kind), byte(len(f.Label)))
	dst = append(dst, f.Label[:byte(len(f.Label))]...)
	switch f.Kind {
	case Heartbeat:
		var flags byte
		if f.StateOK {
			flags |= 1
		}
		if f.IsLeader {
			flags |= 2
		}
		dst = append(dst, flags)
		dst = binary.BigEndian.AppendUint64(dst, f.FencingToken)
		dst = binary.BigEndian.AppendUint16(dst, f.Requests)
		dst = binary.BigEndian.AppendUint16(dst, f.Writes)
	case Relay, RelayAck:
		dst = binary.BigEndian.AppendUint64(dst, f.ID)
		if f.Kind == RelayAck {
			dst = binary.BigEndian.AppendUint16(dst, f.Status)
		}
		dst = binary.BigEndian.AppendUint32(dst, uint32(len(f.Body)))
		dst = append(dst, f.Body...)
	}
	return dst
}

// Decode reads one frame; the whole input must be used.
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
		f.StateOK, f.IsLeader = flags&1 != 0, flags&2 != 0
		if flags > 3 {
			return f, ErrBad
		}
		f.FencingToken = r.u64()
		f.Requests, f.Writes = r.u16(), r.u16()
	case Relay, RelayAck:
		f.ID = r.u64()
		if f.Kind == RelayAck {
			f.Status = r.u16()
		}
		f.Body = r.take(int(r.u32()))
	default:
		return f, ErrBad
	}
	if r.bad || len(r.in) != 0 {
		return f, ErrBad
	}
	return f, nil
}

type reader struct {
	in  []byte
	bad bool
}

func (r *reader) take(n int) []byte {
	if n < 0 || n > len(r.in) {
		r.bad, r.in = true, nil
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
