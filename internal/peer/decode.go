package peer

import (
	"encoding/binary"
	"fmt"
)

// DecodeError says why bytes are not a frame of this version.
type DecodeError struct {
	Field    string // of the layout; "frame" for the whole
	Offset   int    // of the first byte that is wrong or missing
	Found    int    // the value or the number of bytes found
	Expected string
}

// Error names the field, its place, and what was expected and found there.
func (e *DecodeError) Error() string {
	return fmt.Sprintf("frame: %s at byte %d: expected %s, found %d", e.Field, e.Offset, e.Expected, e.Found)
}

// Decode decodes the one frame that in consists of. Its Body points into in. Its
// errors are *DecodeError.
func Decode(in []byte) (Frame, error) {
	f, err := decode(in)
	if err != nil {
		// Not returned as it is: a nil *DecodeError would not be a nil error.
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
	f.Label = string(r.take("label", int(r.u8("length of the label"))))
	switch f.Kind {
	case Heartbeat:
		r.heartbeat(&f)
	case Relay:
		f.ID = r.u64("id")
		f.Body = r.take("data", int(r.u32("length of the data")))
	case RelayAck:
		f.ID = r.u64("id")
		f.Status = r.u16("status")
		f.Body = r.take("data", int(r.u32("length of the data")))
	default:
		if r.err == nil {
			r.err = &DecodeError{Field: "kind", Offset: 1, Found: int(f.Kind), Expected: "1, 2 or 3"}
		}
	}
	if left := len(in) - r.offset; r.err == nil && left != 0 {
		r.err = &DecodeError{Field: "frame", Offset: r.offset, Found: left, Expected: "no bytes behind the last field"}
	}
	return f, r.err
}

// reader takes integers and bytes off the front of its input. After the first error
// it yields zeros.
type reader struct {
	in     []byte
	offset int // of the next byte
	err    *DecodeError
}

// heartbeat takes the body of a heartbeat.
func (r *reader) heartbeat(f *Frame) {
	flagsOffset := r.offset
	flags := r.u8("flags")
	if unknown := flags &^ knownFlags; unknown != 0 {
		r.err = &DecodeError{Field: "flags", Offset: flagsOffset, Found: int(flags), Expected: "bits 0 and 1 alone"}
		return
	}
	f.StateOK = flags&flagStateOK != 0
	f.IsLeader = flags&flagIsLeader != 0
	f.FencingToken = r.u64("token")
	f.Requests = r.u16("requests")
	f.Writes = r.u16("writes")
}

// take returns the next n bytes, or nil if there are fewer.
func (r *reader) take(field string, n int) []byte {
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
	if b := r.take(field, 1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) u16(field string) uint16 {
	if b := r.take(field, 2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (r *reader) u32(field string) uint32 {
	if b := r.take(field, 4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (r *reader) u64(field string) uint64 {
	if b := r.take(field, 8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}
