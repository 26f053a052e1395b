package peer

import (
	"bytes"
	"encoding/hex"
	"os"
	"strings"
	"testing"
)

// TestProductionFrames: frames recorded from the version in production decode,
// and encode to the same bytes, since that version refuses anything else.
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
			t.Errorf("%s: %v", line, err)
			continue
		}
		if !bytes.Equal(Append(nil, &f), data) {
			t.Errorf("%s encodes to other bytes", line)
		}
		kinds[f.Kind]++
	}
	if kinds[Heartbeat] == 0 || kinds[Relay] == 0 || kinds[RelayAck] == 0 {
		t.Errorf("kinds %v", kinds)
	}
}
