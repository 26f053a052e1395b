package controller

import (
	"log/slog"
	"testing"
	"time"

	"lugward/internal/config"
	"lugward/internal/event"
	"lugward/internal/httpwire"
	"lugward/internal/peer"
)

// newTestController returns controller a of the controllers a, b and c. The state service
// has not answered any of its requests.
func newTestController(t *testing.T) *Controller {
	t.Helper()
	cfg := &config.Platform{Label: "a", Seeds: []config.Seed{{Label: "b"}, {Label: "c"}}}
	cfg.Settings.State.ValueKB = 64
	cfg.Settings.State.TxnOps = 100
	cfg.Settings.State.RPS = 100
	cfg.Settings.State.WriteRPS = 100
	return New(cfg, slog.New(slog.DiscardHandler), nil)
}

const testHeartbeat = `{"host":"m-1","addr":"m-1:1","flavor":"large","yard":"z","tenure":1,"tick":1}`

func TestRequestIsAnsweredAtOnce(t *testing.T) {
	tests := []struct {
		name    string
		request event.Request
		want    int // status
	}{
		{"unknown path", event.Request{Method: "GET", Path: "/none"}, httpwire.StatusNotFound},
		{"health before the watch cache is complete", event.Request{Method: "GET", Path: pathHealth}, httpwire.StatusServiceUnavailable},
		{"heartbeat with another method", event.Request{Method: "GET", Path: pathWorkerHeartbeat}, httpwire.StatusMethodNotAllowed},
		{"malformed heartbeat", event.Request{Method: methodPost, Path: pathWorkerHeartbeat, Body: []byte("{")}, httpwire.StatusBadRequest},
		{"heartbeat while there is no leader", event.Request{Method: methodPost, Path: pathWorkerHeartbeat, Body: []byte(testHeartbeat)}, httpwire.StatusMisdirectedRequest},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var out event.Effects
			test.request.Conn = 7
			newTestController(t).HandleRequest(time.Second, test.request, &out)
			if len(out.Replies) != 1 || out.Replies[0].Conn != 7 || out.Replies[0].Status != test.want {
				t.Errorf("got replies %+v, want one to connection 7 with status %d", out.Replies, test.want)
			}
		})
	}
}

func TestRelayedHeartbeatIsRefusedByAFollower(t *testing.T) {
	c := newTestController(t)
	frame := peer.Append(nil, &peer.Frame{Kind: peer.Relay, Label: "c", ID: 5, Body: []byte(testHeartbeat)})
	var out event.Effects
	c.HandleFrame(time.Second, event.PeerFrame{Peer: event.UnknownPeer, Data: frame}, &out)
	if len(out.Frames) != 1 || out.Frames[0].Peer != 1 {
		t.Fatalf("got frames %+v, want one to peer 1", out.Frames)
	}
	response, err := peer.Decode(out.Frames[0].Data)
	if err != nil || response.Kind != peer.RelayAck || response.ID != 5 || response.Status != httpwire.StatusServiceUnavailable {
		t.Errorf("got frame %+v, error %v; want a RelayAck with ID 5 and status 503", response, err)
	}
}

func TestFrameOfAnUnknownControllerIsIgnored(t *testing.T) {
	c := newTestController(t)
	for name, frame := range map[string][]byte{
		"unknown label": peer.Append(nil, &peer.Frame{Kind: peer.Relay, Label: "x", ID: 5}),
		"malformed":     []byte("none"),
	} {
		var out event.Effects
		c.HandleFrame(time.Second, event.PeerFrame{Peer: event.UnknownPeer, Data: frame}, &out)
		if len(out.Frames)+len(out.Replies)+len(out.Calls) != 0 {
			t.Errorf("%s: got effects %+v, want none", name, out)
		}
	}
}
