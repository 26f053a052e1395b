package scheduler

import (
	"testing"

	"lugward/internal/config"
	"lugward/internal/pipeline"
)

// The reservations of all jobs of a team together stay within its limit. A gang that the
// limit does not allow as a whole gets none.
func TestReservationsWithinLimit(t *testing.T) {
	tests := []struct {
		name      string
		shape     pipeline.Shape
		tasks     int // number of tasks of each of the two jobs
		limitCPUs float64
		want      int
	}{
		{"limit for one job", pipeline.Array, 4, 4, 4},
		{"limit for one job and a half", pipeline.Array, 4, 6, 6},
		{"no limit", pipeline.Array, 4, 0, 8},
		{"gangs beyond the limit", pipeline.Gang, 6, 4, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newCluster(t)
			otherTeam := s.jobs.Names.Teams.Index("u")
			s.cfg.Teams = map[pipeline.TeamIndex]config.Team{s.jobs.Names.Teams.Index("t"): {CPUsMax: test.limitCPUs}}
			s.addJob("req-1", func(j *pipeline.Job) { j.Team = otherTeam })
			s.setRunRecord("req-1", firstTaskOnMachine, 9)
			for _, id := range []string{"req-2", "req-3"} {
				s.addJob(id, func(j *pipeline.Job) { j.Shape, j.TaskCount, j.CPUs = test.shape, test.tasks, 1 })
			}
			s.runRound()
			if got := s.ReservationCount(); got != test.want {
				t.Errorf("ReservationCount = %d, want %d", got, test.want)
			}
		})
	}
}
