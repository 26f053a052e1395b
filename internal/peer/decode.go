package peer

import (
	"encoding/binary"
	"fmt"
)

// DecodeError describes why the input is not a valid frame of this version.
type DecodeError struct {
	Field    string // field of the layout, or "frame" for the frame as a whole
	Offset   int    // offset of the first invalid or missing byte
	Found    int    // value or number of bytes found
	Expected string
}

// Error returns the field, its offset, and the expected and found values.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("frame: %s at byte %d: expected %s, found %d", e.Field, e.Offset, e.Expected, e.Found)
}

// Decode decodes a single frame, which must span all of in. The frame's Body aliases
// in. Errors are of type *DecodeError.
func Decode(in []byte) (Frame, error) {
	f, err := decode(in)
	if err != nil {
		// err is returned only here, since a nil *DecodeError in an error interface
		// would not equal nil.
		return f, err
	}
	return f, nil
}

func decode(in []byte) (Frame, *DecodeError) {
	var f Frame
	r := reader{in: in}
	if v := r.u8("version"); r.err == nil && v != version {
		return f, &DecodeError{Field: "version", Found: int(v), Expected: fmt.Sprint(version)}
	}
	f.Kind = Kind(r.u8("kind"))
	f.Label = string(r.readBytes("label", int(r.u8("label length"))))
	switch f.Kind {
	case Heartbeat:
		r.readHeartbeat(&f)
	case Relay:
		f.ID = r.u64("id")
		f.Body = r.readBytes("data", int(r.u32("data length")))
	case RelayAck:
		f.ID = r.u64("id")
		f.Status = r.u16("status")
		f.Body = r.readBytes("data", int(r.u32("data length")))
	case View:
		f.Revision = r.u64("revision")
	default:
		if r.err == nil {
			r.err = &DecodeError{Field: "kind", Offset: 1, Found: int(f.Kind), Expected: "1 to 4"}
		}
	}
	if left := len(in) - r.offset; r.err == nil && left != 0 {
		r.err = &DecodeError{Field: "frame", Offset: r.offset, Found: left, Expected: "no bytes after the last field"}
	}
	return f, r.err
}

// reader reads integers and bytes from its input. After the first error it returns
// zero values.
type reader struct {
	in     []byte
	offset int // offset of the next byte
	err    *DecodeError
}

// readHeartbeat reads the body of a heartbeat into f.
func (r *reader) readHeartbeat(f *Frame) {
	flagsOffset := r.offset
	flags := r.u8("flags")
	if unknown := flags &^ knownFlags; unknown != 0 {
		r.err = &DecodeError{Field: "flags", Offset: flagsOffset, Found: int(flags), Expected: "only bits 0 and 1"}
		return
	}
	f.StateOK = flags&flagStateOK != 0
	f.IsLeader = flags&flagIsLeader != 0
	f.FencingToken = r.u64("token")
	f.Requests = r.u16("requests")
	f.Writes = r.u16("writes")
}

// readBytes returns the next n bytes. If fewer are left, it sets err and returns nil.
func (r *reader) readBytes(field string, n int) []byte {
	if r.err != nil {
		return nil
	}
	if left := len(r.in) - r.offset; n < 0 || n > left {
		r.err = &DecodeError{Field: field, Offset: r.offset, Found: left, Expected: fmt.Sprintf("%d bytes", n)}
		return nil
	}
	b := r.in[r.offset : r.offset+n]
	r.offset += n
	return b
}

func (r *reader) u8(field string) byte {
	if b := r.readBytes(field, 1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) u16(field string) uint16 {
	if b := r.readBytes(field, 2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (r *reader) u32(field string) uint32 {
	if b := r.readBytes(field, 4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (r *reader) u64(field string) uint64 {
	if b := r.readBytes(field, 8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}
