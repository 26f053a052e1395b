package engine

import (
	"encoding/binary"
	"net"
	"testing"
	"time"
)

// TestPeerPort checks frames that arrive in parts, and that garbage ends the
// connection.
func TestPeerPort(t *testing.T) {
	core, cfg := start(t, 100)
	if got := exchange(t, cfg.PeerBind, "\xff\xff\xff\xffgarbage"); got != "" {
		t.Errorf("garbage was answered with %q", got)
	}
	c, err := net.Dial("tcp", cfg.PeerBind)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	frame := append(binary.BigEndian.AppendUint32(nil, 3), "abc"...)
	_, _ = c.Write(frame[:5])
	time.Sleep(5 * time.Millisecond)
	_, _ = c.Write(append(frame[5:], frame...))
	for range 500 {
		if core.frameCount() == 2 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("two frames did not arrive")
}
