package pipeline

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// line is a stored key, for tests that bring a replica about in some order.
type line struct {
	kind, rest string
	data       []byte
	version    uint64
}

// rig is a table together with what is stored.
type rig struct {
	*Table
	revision uint64
	log      []line
}

func newRig() *rig {
	r := &rig{Table: NewTable(&Names{}, 4096, 4)}
	r.Now = int64(time.Second)
	r.SetClock(time.Second, time.Unix(1000, 0)) // steady time 0 is 999 s
	return r
}

func (r *rig) write(kind, rest string, data []byte) {
	r.revision++
	r.log = append(r.log, line{kind, rest, data, r.revision})
	r.Listen(kind, rest, data, r.revision)
}

func id(n int) string { return fmt.Sprintf("req-%06d", n) }

// job stores a held job below others, or one that is ready if there are none.
func (r *rig) job(n int, set func(*Job), up ...int) *Job {
	j := &Job{ID: id(n), Owner: "n0", Ready: len(up) == 0, Spec: Spec{TaskCount: 1, CPUs: 1, Priority: Normal, Zone: -1, EstimatedRuntime: 10}}
	j.Class, j.Team, j.Image = r.Names.Classes.Index("c"), r.Names.Teams.Index("t"), r.Names.Images.Index("b")
	for _, u := range up {
		j.Upstream = append(j.Upstream, id(u))
	}
	if set != nil {
		set(j)
	}
	r.write(JobKey, j.ID, Encode(r.Names, j))
	return r.Job(j.ID)
}

func (r *rig) final(n int, p Phase) {
	j := &Job{Spec: Spec{TaskCount: 1}}
	r.write(FinalKey, id(n), EncodeFinal(p, j))
}

func idsOf(list []*Job) string {
	var s []string
	for _, j := range list {
		s = append(s, strings.TrimLeft(strings.TrimPrefix(j.ID, "req-"), "0"))
	}
	return strings.Join(s, " ")
}

func (r *rig) upstreamCancelledIDs() string { return idsOf(inOrder(r.graph.upstreamCancelled)) }

func expect(t *testing.T, what, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("%s: %q, want %q", what, got, want)
	}
}
