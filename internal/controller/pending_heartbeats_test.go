package controller

import (
	"lugward/internal/pipeline"

	"slices"
	"testing"
	"time"
)

// longAfter is when any heartbeat of these tests has waited for long enough.
const longAfter = time.Hour

// addPending adds a heartbeat of a machine to those that wait.
func addPending(t *testing.T, p *pendingHeartbeats, machine pipeline.MachineIndex) *pendingHeartbeat {
	t.Helper()
	pending := &pendingHeartbeat{machine: machine, receivedAt: time.Duration(machine) * time.Second}
	if replaced := p.add(pending); replaced != nil {
		t.Fatalf("the heartbeat of machine %d replaces another", machine)
	}
	return pending
}

func TestPendingHeartbeatReplacesOlderOfItsMachine(t *testing.T) {
	p := newPendingHeartbeats(100)
	first := addPending(t, &p, 1)
	p.markIdle(first)
	second := &pendingHeartbeat{machine: 1}
	if replaced := p.add(second); replaced != first || !first.answered {
		t.Errorf("replaced %v, answered %v; want the first, answered", replaced, first.answered)
	}
	if p.get(1) != second || p.idleCount != 0 {
		t.Errorf("waiting %v, %d idle; want the second, none idle", p.get(1), p.idleCount)
	}
	p.markAnswered(second)
	if !p.empty() {
		t.Error("a heartbeat waits after both were answered")
	}
}

// queueTests change the three heartbeats that wait, of the machines 1, 2 and 3.
var queueTests = []struct {
	name        string
	change      func(p *pendingHeartbeats, list []*pendingHeartbeat)
	overdue     pipeline.MachineIndex   // machine of the next overdue heartbeat, 0: none
	overdueIdle pipeline.MachineIndex   // the same, of idle machines
	all         []pipeline.MachineIndex // machines of all that wait
}{
	{"all wait", func(*pendingHeartbeats, []*pendingHeartbeat) {}, 1, 0, []pipeline.MachineIndex{1, 2, 3}},
	{"oldest answered", func(p *pendingHeartbeats, list []*pendingHeartbeat) { p.markAnswered(list[0]) }, 2, 0, []pipeline.MachineIndex{2, 3}},
	{"oldest idle", func(p *pendingHeartbeats, list []*pendingHeartbeat) { p.markIdle(list[0]) }, 2, 1, []pipeline.MachineIndex{1, 2, 3}},
	{"idle twice", func(p *pendingHeartbeats, list []*pendingHeartbeat) {
		p.markIdle(list[2])
		p.markIdle(list[2])
	}, 1, 3, []pipeline.MachineIndex{1, 2, 3}},
	{"idle, then answered", func(p *pendingHeartbeats, list []*pendingHeartbeat) {
		p.markIdle(list[1])
		p.markAnswered(list[1])
	}, 1, 0, []pipeline.MachineIndex{1, 3}},
	{"all answered", func(p *pendingHeartbeats, list []*pendingHeartbeat) {
		for _, pending := range list {
			p.markAnswered(pending)
		}
	}, 0, 0, nil},
}

// threePending returns the heartbeats of the machines 1, 2 and 3, as a test changes them.
func threePending(t *testing.T, change func(*pendingHeartbeats, []*pendingHeartbeat)) *pendingHeartbeats {
	t.Helper()
	p := newPendingHeartbeats(100)
	change(&p, []*pendingHeartbeat{addPending(t, &p, 1), addPending(t, &p, 2), addPending(t, &p, 3)})
	return &p
}

func TestOverduePendingHeartbeats(t *testing.T) {
	machineOf := func(pending *pendingHeartbeat) pipeline.MachineIndex {
		if pending == nil {
			return 0
		}
		return pending.machine
	}
	for _, test := range queueTests {
		t.Run(test.name, func(t *testing.T) {
			p := threePending(t, test.change)
			if got := machineOf(p.nextOverdue(longAfter)); got != test.overdue {
				t.Errorf("overdue of machine %d, want %d", got, test.overdue)
			}
			if got := machineOf(p.nextOverdueIdle(longAfter)); got != test.overdueIdle {
				t.Errorf("overdue idle of machine %d, want %d", got, test.overdueIdle)
			}
		})
	}
}

func TestAllPendingHeartbeats(t *testing.T) {
	for _, test := range queueTests {
		t.Run(test.name, func(t *testing.T) {
			p := threePending(t, test.change)
			var all []pipeline.MachineIndex
			for pending := range p.all() {
				all = append(all, pending.machine)
				p.markAnswered(pending) // as the caller does
			}
			if !slices.Equal(all, test.all) {
				t.Errorf("waiting: machines %v, want %v", all, test.all)
			}
			if p.idleCount != 0 {
				t.Errorf("%d count as idle after all were answered", p.idleCount)
			}
		})
	}
}

func TestHeartbeatsAreReviewedOnChangeAndAfterRounds(t *testing.T) {
	p := newPendingHeartbeats(100)
	addPending(t, &p, 1)
	p.markIdle(addPending(t, &p, 2))
	if got := p.takeToReview([]pipeline.MachineIndex{9}); !slices.Equal(got, []pipeline.MachineIndex{1, 2, 9}) {
		t.Errorf("to review %v; want the new ones and what changed", got)
	}
	if got := p.takeToReview(nil); len(got) != 0 {
		t.Errorf("to review again %v", got)
	}
	steps := []struct {
		name           string
		roundRequested bool
		want           []pipeline.MachineIndex
	}{
		{"no round was awaited", false, nil},
		{"a round is awaited", true, nil},
		{"it is still awaited", true, nil},
		{"it is over", false, []pipeline.MachineIndex{1}},
		{"none is awaited any more", false, nil},
	}
	for _, step := range steps {
		if got := p.appendAfterRound(nil, step.roundRequested); !slices.Equal(got, step.want) {
			t.Errorf("%s: machines %v, want %v", step.name, got, step.want)
		}
	}
}

func TestHeartbeatsBecomeOverdue(t *testing.T) {
	const begin = time.Minute
	tests := []struct {
		name      string
		idle      bool
		idleLimit int
		waited    time.Duration
		want      bool
	}{
		{"in time", false, 1, heartbeatAnswerTimeout - 1, false},
		{"overdue", false, 1, heartbeatAnswerTimeout, true},
		{"idle, in time", true, 1, idleHeartbeatAnswerTimeout - 1, false},
		{"idle, overdue", true, 1, idleHeartbeatAnswerTimeout, true},
		{"idle, more than may wait", true, 0, 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newPendingHeartbeats(test.idleLimit)
			pending := &pendingHeartbeat{machine: 1, receivedAt: begin}
			p.add(pending)
			if test.idle {
				p.markIdle(pending)
			}
			got, gotIdle := p.nextOverdue(begin+test.waited), p.nextOverdueIdle(begin+test.waited)
			if (got != nil) != (test.want && !test.idle) {
				t.Errorf("overdue: %v", got)
			}
			if (gotIdle != nil) != (test.want && test.idle) {
				t.Errorf("overdue and idle: %v", gotIdle)
			}
		})
	}
}
