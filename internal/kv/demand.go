package kv

import (
	"time"

	"lugward/internal/event"
)

// meterWindow is the time over which a meter averages.
const meterWindow = 2 * time.Second

// meter measures a rate over a sliding window: it counts by windows and weighs
// the last one by the part of it that lies in the sliding window.
type meter struct {
	last, current float64    // counts of the last window and of this one
	began         event.Time // when this window began
}

func (m *meter) add(now event.Time, n float64) {
	m.advance(now)
	m.current += n
}

// advance goes on to the window that holds now.
func (m *meter) advance(now event.Time) {
	elapsed := now - m.began
	if elapsed < meterWindow {
		return
	}
	if elapsed < 2*meterWindow {
		m.last = m.current
		m.began += meterWindow
	} else {
		m.last = 0
		m.began = now
	}
	m.current = 0
}

// rate returns the average per second.
func (m *meter) rate(now event.Time) float64 {
	m.advance(now)
	elapsed := float64(now-m.began) / float64(meterWindow)
	return (m.current + m.last*(1-elapsed)) / meterWindow.Seconds()
}

// Demand is how many requests and writes per second this node could use: its
// recent use and the writes that wait.
func (c *Client) Demand(now event.Time) (requests, writes float64) {
	waiting := 0.0
	for _, list := range c.txns.queue {
		for _, intent := range list {
			waiting += float64(intent.ops())
		}
	}
	return c.rates.requestMeter.rate(now), c.rates.writeMeter.rate(now) + waiting
}

// Backlog estimates how many seconds a new intent of a priority waits for its
// turn, by the intents before it: at best, if all of the service's rate were
// this node's, and at the node's present part of it.
func (c *Client) Backlog(priority Priority) (best, now float64) {
	before := 0
	for _, list := range c.txns.queue[:priority+1] {
		before += len(list)
	}
	return float64(before) / c.limits.WriteRPS, float64(before) / c.rates.writes.rate
}
