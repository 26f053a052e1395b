package kv

import (
	"time"

	"lugward/internal/event"
)

// rateMeterWindow is the length of the window over which a rateMeter averages.
const rateMeterWindow = 2 * time.Second

// rateMeter measures a rate over a sliding window. It counts in fixed windows and
// weights the count of the previous one by the part of it that the sliding window
// covers.
type rateMeter struct {
	previous, current float64    // counts of the previous and the current fixed window
	startedAt         event.Time // start of the current fixed window
}

func (m *rateMeter) add(now event.Time, n float64) {
	m.advance(now)
	m.current += n
}

// advance moves on to the fixed window that contains now.
func (m *rateMeter) advance(now event.Time) {
	elapsed := now - m.startedAt
	if elapsed < rateMeterWindow {
		return
	}
	if elapsed < 2*rateMeterWindow {
		m.previous = m.current
		m.startedAt += rateMeterWindow
	} else {
		m.previous = 0
		m.startedAt = now
	}
	m.current = 0
}

// rate returns the average rate per second.
func (m *rateMeter) rate(now event.Time) float64 {
	m.advance(now)
	elapsed := float64(now-m.startedAt) / float64(rateMeterWindow)
	return (m.current + m.previous*(1-elapsed)) / rateMeterWindow.Seconds()
}
