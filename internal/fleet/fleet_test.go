package fleet

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"lugward/internal/pipeline"
	"lugward/internal/step"
)

// term is a leader that has always led, with a lease of 30 s for workers.
type term struct{}

func (term) Fence() uint64                        { return 5 }
func (term) Entitled(step.Time) bool              { return true }
func (term) SawFence(uint64)                      {}
func (term) Lease() time.Duration                 { return 30 * time.Second }
func (term) SilentProof(last step.Time) step.Time { return last + 32*time.Second }

// TestReports: which reports are believed, in the order in which they arrive.
func TestReports(t *testing.T) {
	n := &pipeline.Names{}
	f := New(n, pipeline.NewTable(n, 4096, 12), slog.New(slog.NewTextHandler(io.Discard, nil)))
	f.Silent = 13 * time.Second
	for _, r := range []struct {
		at           time.Duration
		tenure, tick uint64
		fence        uint64
		taken, up    bool
		what         string
	}{
		{1, 1, 7, 4, true, false, "the first of a term may be a copy: nothing is placed there"},
		{2, 1, 8, 5, true, true, "our answer arrived"},
		{3, 1, 8, 5, false, true, "a copy"},
		{4, 1, 6, 4, false, true, "a copy from before our term"},
		{9, 1, 9, 5, true, true, "the next"},
		{50, 1, 10, 5, false, false, "held back: that session ended 32 s after our last answer"},
		{51, 1, 30, 5, false, false, "however many there are of it"},
		{52, 2, 31, 5, true, true, "the machine itself, in its next session"},
	} {
		now := r.at * time.Second
		rep := &Report{Host: "i-1", Addr: "10.1.0.1:9000", Flavor: "f", Yard: "a", Tenure: r.tenure, Tick: r.tick, Fence: r.fence}
		taken := f.Take(rep, now, term{})
		if taken {
			f.Orders(rep, now, term{})
		}
		if up := f.Host("i-1", now).Up(now, f.Silent); taken != r.taken || up != r.up {
			t.Errorf("%s: taken %v, usable %v", r.what, taken, up)
		}
	}
}
