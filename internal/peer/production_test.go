package peer

import (
	"bytes"
	"encoding/hex"
	"os"
	"strings"
	"testing"
)

// The frames that the version in production sends, taken down from a run of
// it, are read, and what we would send in their place is the same to the byte:
// that version refuses anything else.
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
			t.Errorf("%s is sent otherwise", line)
		}
		kinds[f.Kind]++
	}
	if kinds[Heartbeat] == 0 || kinds[Relay] == 0 || kinds[RelayAck] == 0 {
		t.Errorf("kinds %v", kinds)
	}
}
