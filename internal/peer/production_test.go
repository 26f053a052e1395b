package peer

import (
	"bytes"
	"encoding/hex"
	"os"
	"strings"
	"testing"
)

// TestProductionFrames checks that frames recorded from the production version decode
// and encode to the same bytes, since that version rejects anything else.
func TestProductionFrames(t *testing.T) {
	raw, err := os.ReadFile("testdata/production_frames.txt")
	if err != nil {
		t.Fatal(err)
	}
	kinds := map[Kind]int{}
	for _, line := range strings.Fields(string(raw)) {
		data, err := hex.DecodeString(line)
		if err != nil {
			t.Fatal(err)
		}
		f, err := Decode(data)
		if err != nil {
			t.Errorf("Decode of %s returned error %v, want nil", line, err)
			continue
		}
		if !bytes.Equal(Append(nil, &f), data) {
			t.Errorf("frame %s encodes to different bytes, want the same", line)
		}
		kinds[f.Kind]++
	}
	if kinds[Heartbeat] == 0 || kinds[Relay] == 0 || kinds[RelayAck] == 0 {
		t.Errorf("decoded frames by kind: %v, want at least one of each kind", kinds)
	}
}
