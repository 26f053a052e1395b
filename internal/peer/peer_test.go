package peer

import (
	"bytes"
	"reflect"
	"testing"
)

var samples = []Frame{
	{Kind: Heartbeat, Label: "node-0", StateOK: true, IsLeader: true, FencingToken: 1 << 40, Requests: 7, Writes: 65535},
	{Kind: Relay, Label: "n", ID: 9, Body: []byte(`{"host":"i-1"}`)},
	{Kind: RelayAck, Label: "", ID: 9, Status: 200, Body: []byte("{}")},
}

func TestRoundTrip(t *testing.T) {
	for _, f := range samples {
		got, err := Decode(Append(nil, &f))
		if err != nil || !reflect.DeepEqual(got, f) {
			t.Errorf("%+v became %+v (%v)", f, got, err)
		}
	}
}

func TestCutShort(t *testing.T) {
	for _, f := range samples {
		whole := Append(nil, &f)
		for n := range whole {
			if _, err := Decode(whole[:n]); err == nil {
				t.Errorf("%d of %d bytes are taken for a frame", n, len(whole))
			}
		}
		if _, err := Decode(append(whole, 0)); err == nil {
			t.Error("a tail goes unnoticed")
		}
	}
}

// FuzzDecode: no input panics, and what decodes encodes to the same bytes.
func FuzzDecode(f *testing.F) {
	for _, s := range samples {
		f.Add(Append(nil, &s))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		fr, err := Decode(in)
		if err == nil && !bytes.Equal(Append(nil, &fr), in) {
			t.Fatalf("%x decodes to %+v, which encodes otherwise", in, fr)
		}
	})
}
