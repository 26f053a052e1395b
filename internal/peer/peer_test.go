package peer

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"testing"
)

var samples = map[string]Frame{
	"heartbeat": {Kind: Heartbeat, Label: "node-0", StateOK: true, IsLeader: true, FencingToken: 1 << 40, Requests: 7, Writes: 65535},
	"relay":     {Kind: Relay, Label: "n", ID: 9, Body: []byte(`{"host":"i-1"}`)},
	"relay ack": {Kind: RelayAck, Label: "", ID: 9, Status: 200, Body: []byte("{}")},
	"view":      {Kind: View, Label: "n", Revision: 1 << 50},
}

// TestRoundTrip checks that encoding and decoding a frame returns an equal frame.
func TestRoundTrip(t *testing.T) {
	for name, f := range samples {
		t.Run(name, func(t *testing.T) {
			got, err := Decode(Append(nil, &f))
			if err != nil || !reflect.DeepEqual(got, f) {
				t.Errorf("frame %+v decoded to %+v (error %v), want an equal frame and no error", f, got, err)
			}
		})
	}
}

// TestCutShort checks that a truncated frame and a frame with trailing bytes are
// rejected.
func TestCutShort(t *testing.T) {
	for name, f := range samples {
		t.Run(name, func(t *testing.T) {
			whole := Append(nil, &f)
			for n := range whole {
				_, err := Decode(whole[:n])
				var decodeError *DecodeError
				if !errors.As(err, &decodeError) || decodeError.Offset > n {
					t.Errorf("Decode of %d of %d bytes returned error %v, want a *DecodeError with an offset of at most %d", n, len(whole), err, n)
				}
			}
			if _, err := Decode(append(whole, 0)); err == nil {
				t.Error("Decode accepted a frame with a trailing byte, want an error")
			}
		})
	}
}

// TestDecodeErrors checks that an error names the field, its offset, and the expected
// and found values.
func TestDecodeErrors(t *testing.T) {
	for _, c := range []struct {
		name string
		in   []byte
		want string
	}{
		{"empty", nil, "frame: version at byte 0: expected 1 bytes, found 0"},
		{"another version", []byte{1, 1, 0}, "frame: version at byte 0: expected 2, found 1"},
		{"no kind", []byte{2}, "frame: kind at byte 1: expected 1 bytes, found 0"},
		{"unknown kind", []byte{2, 9, 0}, "frame: kind at byte 1: expected 1 to 4, found 9"},
		{"truncated label", []byte{2, 1, 3, 'a'}, "frame: label at byte 3: expected 3 bytes, found 1"},
		{"unknown flag", []byte{2, 1, 0, 4}, "frame: flags at byte 3: expected only bits 0 and 1, found 4"},
		{"truncated token", []byte{2, 1, 0, 1, 0}, "frame: token at byte 4: expected 8 bytes, found 1"},
		{"truncated data length", append([]byte{2, 2, 0}, make([]byte, 11)...), "frame: data length at byte 11: expected 4 bytes, found 3"},
		{"trailing byte", append([]byte{2, 2, 0}, make([]byte, 13)...), "frame: frame at byte 15: expected no bytes after the last field, found 1"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Decode(c.in)
			if got := fmt.Sprint(err); got != c.want {
				t.Errorf("Decode returned error %q, want %q", got, c.want)
			}
		})
	}
}

// FuzzDecode checks that no input causes a panic, and that every input that decodes
// encodes to the same bytes.
func FuzzDecode(f *testing.F) {
	for _, s := range samples {
		f.Add(Append(nil, &s))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		frame, err := Decode(in)
		if err == nil && !bytes.Equal(Append(nil, &frame), in) {
			t.Fatalf("%x decoded to %+v, which encodes to different bytes, want the same", in, frame)
		}
	})
}
