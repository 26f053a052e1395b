package store

import "lugward/internal/event"

// Claim is one node's part in a rate that several share.
type Claim struct{ Want, Weight float64 }

// Split deals a rate among the claims: nobody is given more than it wants as
// long as others want more, and among those the weights decide. What nobody
// wants is dealt by weight, so that a sudden need is met.
func Split(rate float64, claims []Claim) []float64 {
	got := make([]float64, len(claims))
	open := make([]int, len(claims))
	for i := range claims {
		open[i] = i
	}
	left := rate
	weigh := func(list []int) (sum float64) {
		for _, i := range list {
			sum += claims[i].Weight
		}
		return sum
	}
	for len(open) > 0 {
		unit := left / weigh(open)
		var still []int
		for _, i := range open {
			if claims[i].Want <= unit*claims[i].Weight {
				got[i] = claims[i].Want
				left -= claims[i].Want
			} else {
				still = append(still, i)
			}
		}
		if len(still) == len(open) {
			for _, i := range still {
				got[i] = unit * claims[i].Weight
			}
			return got
		}
		open = still
	}
	all := 0.0
	for _, c := range claims {
		all += c.Weight
	}
	for i, c := range claims {
		got[i] += left * c.Weight / all
	}
	return got
}

// demandOver is the time over which the demand is counted.
const demandOver = event.Time(2e9)

// meter counts what was asked for lately.
type meter struct {
	last, now float64
	since     event.Time
}

func (m *meter) add(now event.Time, n float64) {
	m.roll(now)
	m.now += n
}

func (m *meter) roll(now event.Time) {
	switch gone := now - m.since; {
	case gone >= 2*demandOver:
		m.last, m.now, m.since = 0, 0, now
	case gone >= demandOver:
		m.last, m.now, m.since = m.now, 0, m.since+demandOver
	}
}

func (m *meter) rate(now event.Time) float64 {
	m.roll(now)
	part := float64(now-m.since) / float64(demandOver)
	return (m.now + m.last*(1-part)) / demandOver.Seconds()
}

// Demand is how many requests and writes per second this node could use:
// those of the last seconds and those that wait.
func (c *Client) Demand(now event.Time) (requests, writes float64) {
	waiting := 0.0
	for _, list := range c.queue {
		for _, in := range list {
			waiting += float64(in.ops())
		}
	}
	return c.requestMeter.rate(now), c.written.rate(now) + waiting
}

// Backlog tells how long a new intent of a priority waits for its turn, by the
// writes before it: at best, if all of the service's rate were ours, and at
// our part of it as it is.
func (c *Client) Backlog(p Priority) (best, now float64) {
	before := 0
	for _, list := range c.queue[:p+1] {
		before += len(list)
	}
	return float64(before) / c.limits.WriteRPS, float64(before) / c.writes.rate
}
