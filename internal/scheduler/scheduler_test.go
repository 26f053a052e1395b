package scheduler

import (
	"io"
	"log/slog"
	"testing"
	"time"

	"lugward/internal/pipeline"
	"lugward/internal/worker"
)

// TestRoomsFollow: the rooms show what was placed a moment ago, as the plan
// that follows a round in the same step needs it; a machine on which nothing
// changed is not counted again.
func TestRoomsFollow(t *testing.T) {
	n := &pipeline.Names{}
	jobs := pipeline.NewTable(n, 4096, 12)
	f := worker.New(n, jobs, slog.New(slog.NewTextHandler(io.Discard, nil)))
	flavors := MachineTypes{{Cores: 8, RAM: 32}}
	p := &Scheduler{Jobs: jobs, Workers: f, MachineTypes: &flavors, Silent: time.Minute}
	now := time.Second
	for _, name := range []string{"i-1", "i-2"} {
		h := f.Machine(name, now)
		h.Flavor, h.Zone, h.Known, h.Fenced, h.Heard = 0, 0, true, true, now
	}
	j := &pipeline.Job{ID: "req-1", Spec: pipeline.Spec{N: 2, Cores: 3, RAM: 1, Zone: -1}}
	jobs.Listen(pipeline.JobKey, j.ID, pipeline.Encode(names(n), j), 1)
	left := func() (a, b float64) {
		rooms := p.Rooms(now)
		return rooms[0].Cores, rooms[1].Cores
	}
	if a, b := left(); a != 8 || b != 8 || p.Counted != 2 {
		t.Fatalf("empty machines have %v and %v cores, %d counted", a, b, p.Counted)
	}
	e := jobs.Place(jobs.Job("req-1"), 0, 1, 1, int64(now))
	if a, b := left(); a != 8 || b != 5 || p.Counted != 3 {
		t.Errorf("with a task on the second: %v and %v, %d counted", a, b, p.Counted)
	}
	jobs.Clear(e)
	if a, b := left(); a != 8 || b != 8 || p.Counted != 4 {
		t.Errorf("without it again: %v and %v, %d counted", a, b, p.Counted)
	}
}

// names holds what a record of a job names.
func names(n *pipeline.Names) *pipeline.Names {
	n.Classes.Index("c")
	n.Teams.Index("t")
	n.Bundles.Index("b")
	return n
}

// Jobs without cards leave machines with cards alone for a while, in placing,
// stopping and reserving alike, where one that needs cards has not begun for
// long; not where it has, where no other type would do, or when they have waited.
func TestCardsAreKept(t *testing.T) {
	for _, c := range []struct {
		what          string
		waited, plain time.Duration // of the job with cards, and the one without
		begun, onlyIt bool
		want          bool
	}{
		{"a job with cards waits", cardsAfter + time.Second, 0, false, false, true},
		{"not for long", cardsAfter - time.Second, 0, false, false, false},
		{"it has begun", cardsAfter + time.Second, 0, true, false, false},
		{"no other type", cardsAfter + time.Second, 0, false, true, false},
		{"the other has waited, too", cardsAfter + time.Second, cardsSpared + time.Second, false, false, false},
	} {
		s := newSite()
		s.now = time.Hour
		s.Jobs.Names.Flavors.Index("plain")
		s.Jobs.Names.Flavors.Index("card")
		*s.MachineTypes = MachineTypes{{Index: 0, Cores: 8, RAM: 32}, {Index: 1, Cores: 8, Cards: 4, RAM: 32}}
		h := s.Workers.Machine("i-1", s.now)
		h.Flavor, h.Heard = 1, s.now
		waits := s.job("req-1", func(j *pipeline.Job) { j.N, j.Cores, j.Cards, j.RAM = 9, 1, 1, 40 })
		other := s.job("req-2", func(j *pipeline.Job) {
			j.Rank = pipeline.High
			if c.onlyIt {
				j.Flavors = []int{1}
			}
		})
		waits.FirstSeen, other.FirstSeen = int64(s.now-c.waited), int64(s.now-c.plain)
		if c.begun {
			s.Jobs.Listen(pipeline.RunKey, "req-1/0", []byte(`{"t":1,"a":[[0,1,"i-9"]]}`), 9)
		}
		s.Round(s.now)
		if kept := other.Active() == 0 && s.Reserved() == 0; kept != c.want {
			t.Errorf("%s: kept %v", c.what, kept)
		}
	}
}
