package kv

import (
	"time"

	"lugward/internal/event"
)

// meterWindow is the time over which a rateMeter averages.
const meterWindow = 2 * time.Second

// rateMeter measures a rate over a sliding window. It counts by fixed windows and
// weighs the count of the last one by the part of it that lies in the sliding
// window.
type rateMeter struct {
	last, current float64    // counts of the last fixed window and of this one
	startedAt     event.Time // when this fixed window began
}

func (m *rateMeter) add(now event.Time, n float64) {
	m.advance(now)
	m.current += n
}

// advance goes on to the fixed window that holds now.
func (m *rateMeter) advance(now event.Time) {
	elapsed := now - m.startedAt
	if elapsed < meterWindow {
		return
	}
	if elapsed < 2*meterWindow {
		m.last = m.current
		m.startedAt += meterWindow
	} else {
		m.last = 0
		m.startedAt = now
	}
	m.current = 0
}

// rate returns the average per second.
func (m *rateMeter) rate(now event.Time) float64 {
	m.advance(now)
	elapsed := float64(now-m.startedAt) / float64(meterWindow)
	return (m.current + m.last*(1-elapsed)) / meterWindow.Seconds()
}
