package controller

import (
	"lugward/internal/event"
	"lugward/internal/peer"
	"lugward/internal/pipeline"
	"lugward/internal/record"
)

// leaderView tracks what this controller, as leader, has told the others about its watch cache.
// They confirm a cancellation to users once a leader knows of it.
type leaderView struct {
	lastCancellation uint64 // revision of the newest cancellation in the watch cache
	announced        uint64 // revision in the last peer.View frame
}

// handleTerminalChange handles a change of a job's terminal record. A cancellation that is new to
// this controller is passed on to the API, which confirms it to users.
func (c *Controller) handleTerminalChange(id string, data []byte, modRevision uint64) {
	known := c.jobs.Terminal.Has(id)
	c.jobs.HandleChange(record.KindTerminal, id, data, modRevision)
	terminal, ended := c.jobs.Terminal.Get(id)
	if known || !ended || terminal.Phase != pipeline.Cancelled {
		return
	}
	c.leaderView.lastCancellation = max(c.leaderView.lastCancellation, modRevision)
	c.api.RecordCancellation(id, modRevision, c.jobs.Now())
}

// announceViewIfNeeded tells the other controllers that the leader knows of a cancellation which
// it has not known before.
func (c *Controller) announceViewIfNeeded(now event.Time, out *event.Effects) {
	last := c.leaderView.lastCancellation
	if last > c.leaderView.announced && c.store.Revision() >= last {
		c.announceView(now, out)
	}
}

// announceView tells the other controllers up to which revision this controller's watch cache is
// complete. Only a leader whose lease is valid may do so.
func (c *Controller) announceView(now event.Time, out *event.Effects) {
	if !c.mayActAsLeader(now) {
		return
	}
	c.leaderView.announced = c.store.Revision()
	data := peer.Append(nil, &peer.Frame{Kind: peer.View, Label: c.cfg.Label, Revision: c.store.Revision()})
	for i := range c.peers.list {
		out.SendFrame(i, data)
	}
}

// handleLeaderView handles a leader's statement about its watch cache.
func (c *Controller) handleLeaderView(now event.Time, frame *peer.Frame, out *event.Effects) {
	c.election.RecordLeaderRevision(frame.Revision)
	c.api.ReleaseAnswers(now, out)
}
