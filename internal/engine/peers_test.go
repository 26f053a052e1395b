package engine

import (
	"encoding/binary"
	"testing"
	"time"
)

// TestPeerPort checks frames that arrive in parts, and that garbage ends the
// connection.
func TestPeerPort(t *testing.T) {
	machine, cfg := start(t, 100)
	if got := exchange(t, cfg.PeerBind, "\xff\xff\xff\xffgarbage"); got != "" {
		t.Errorf("garbage was answered with %q", got)
	}
	c := dial(t, cfg.PeerBind)
	frame := string(append(binary.BigEndian.AppendUint32(nil, 3), "abc"...))
	writeAll(t, c, frame[:5])
	time.Sleep(5 * time.Millisecond)
	writeAll(t, c, frame[5:]+frame)
	for range 500 {
		if machine.frameCount() == 2 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("two frames did not arrive")
}
