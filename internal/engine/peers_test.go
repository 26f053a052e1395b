package engine

import (
	"encoding/binary"
	"testing"
	"time"
)

// TestPeerPort checks that frames that arrive in parts are reassembled, and that an
// invalid frame length closes the connection.
func TestPeerPort(t *testing.T) {
	stateMachine, cfg := start(t, 100)
	if got := exchange(t, cfg.PeerBind, "\xff\xff\xff\xffgarbage"); got != "" {
		t.Errorf("got %q after an invalid frame, want no response", got)
	}
	c := dial(t, cfg.PeerBind)
	frame := string(append(binary.BigEndian.AppendUint32(nil, 3), "abc"...))
	writeAll(t, c, frame[:5])
	time.Sleep(5 * time.Millisecond)
	writeAll(t, c, frame[5:]+frame)
	for range 500 {
		if stateMachine.frameCount() == 2 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("got %d frames within 5s, want 2", stateMachine.frameCount())
}
