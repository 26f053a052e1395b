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
func (c *Client) Demand(now event.Time) Rates {
	waiting := 0.0
	for _, list := range c.txns.queue {
		for _, intent := range list {
			waiting += float64(intent.ops())
		}
	}
	return Rates{
		Requests: c.rates.requestMeter.rate(now),
		Writes:   c.rates.writeMeter.rate(now) + waiting,
	}
}

// QueueDelay estimates how long a new transaction waits for its turn, in seconds.
type QueueDelay struct {
	AtTotalRate float64 // at best: if all of the service's rate were this node's
	AtOwnShare  float64 // at this node's present share of the rate
}

// QueueDelay estimates the delay of a new transaction of a priority by the
// transactions that are queued before it.
func (c *Client) QueueDelay(priority Priority) QueueDelay {
	before := 0
	for _, list := range c.txns.queue[:priority+1] {
		before += len(list)
	}
	return QueueDelay{
		AtTotalRate: float64(before) / c.limits.Rates.Writes,
		AtOwnShare:  float64(before) / c.rates.writes.rate,
	}
}
