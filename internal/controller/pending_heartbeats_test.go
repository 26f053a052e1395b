package controller

import (
	"lugward/internal/pipeline"

	"slices"
	"testing"
	"time"
)

// longAfter is a time at which all heartbeats in these tests are overdue.
const longAfter = time.Hour

// addPending adds a heartbeat of a machine that has no pending heartbeat yet.
func addPending(t *testing.T, p *pendingHeartbeats, machine pipeline.MachineIndex) *pendingHeartbeat {
	t.Helper()
	pending := &pendingHeartbeat{machine: machine, receivedAt: time.Duration(machine) * time.Second}
	if replaced := p.add(pending); replaced != nil {
		t.Fatalf("add of the heartbeat of machine %d replaced %+v, want nil", machine, replaced)
	}
	return pending
}

func TestPendingHeartbeatReplacesOlderOfItsMachine(t *testing.T) {
	p := newPendingHeartbeats(100)
	first := addPending(t, &p, 1)
	p.markIdle(first)
	second := &pendingHeartbeat{machine: 1}
	if replaced := p.add(second); replaced != first || !first.answered {
		t.Errorf("add replaced %v, answered %v; want the first heartbeat %v, answered", replaced, first.answered, first)
	}
	if p.get(1) != second || p.idleCount != 0 {
		t.Errorf("got pending heartbeat %v, idle count %d; want the second heartbeat %v, 0", p.get(1), p.idleCount, second)
	}
	p.markAnswered(second)
	if !p.empty() {
		t.Error("empty = false after both heartbeats were answered, want true")
	}
}

// queueTests change the pending heartbeats of the machines 1, 2 and 3.
var queueTests = []struct {
	name        string
	change      func(p *pendingHeartbeats, list []*pendingHeartbeat)
	overdue     pipeline.MachineIndex   // machine of the next overdue heartbeat, 0 if there is none
	overdueIdle pipeline.MachineIndex   // machine of the next overdue idle heartbeat, 0 if there is none
	all         []pipeline.MachineIndex // machines of all pending heartbeats
}{
	{"all pending", func(*pendingHeartbeats, []*pendingHeartbeat) {}, 1, 0, []pipeline.MachineIndex{1, 2, 3}},
	{"oldest answered", func(p *pendingHeartbeats, list []*pendingHeartbeat) { p.markAnswered(list[0]) }, 2, 0, []pipeline.MachineIndex{2, 3}},
	{"oldest idle", func(p *pendingHeartbeats, list []*pendingHeartbeat) { p.markIdle(list[0]) }, 2, 1, []pipeline.MachineIndex{1, 2, 3}},
	{"marked as idle twice", func(p *pendingHeartbeats, list []*pendingHeartbeat) {
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

// threePending returns pending heartbeats of the machines 1, 2 and 3, after applying the
// change of a test to them.
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
				t.Errorf("nextOverdue returned heartbeat of machine %d, want %d", got, test.overdue)
			}
			if got := machineOf(p.nextOverdueIdle(longAfter)); got != test.overdueIdle {
				t.Errorf("nextOverdueIdle returned heartbeat of machine %d, want %d", got, test.overdueIdle)
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
				t.Errorf("all returned heartbeats of machines %v, want %v", all, test.all)
			}
			if p.idleCount != 0 {
				t.Errorf("idleCount = %d after all heartbeats were answered, want 0", p.idleCount)
			}
		})
	}
}

func TestHeartbeatsAreCheckedOnChangeAndAfterRounds(t *testing.T) {
	p := newPendingHeartbeats(100)
	addPending(t, &p, 1)
	p.markIdle(addPending(t, &p, 2))
	if got := p.drainToCheck([]pipeline.MachineIndex{9}); !slices.Equal(got, []pipeline.MachineIndex{1, 2, 9}) {
		t.Errorf("drainToCheck = %v, want [1 2 9]: machines with new heartbeats, then changed ones", got)
	}
	if got := p.drainToCheck(nil); len(got) != 0 {
		t.Errorf("second drainToCheck = %v, want none", got)
	}
	steps := []struct {
		name           string
		roundRequested bool
		want           []pipeline.MachineIndex
	}{
		{"no round requested", false, nil},
		{"round requested", true, nil},
		{"round still requested", true, nil},
		{"round finished", false, []pipeline.MachineIndex{1}},
		{"no further round requested", false, nil},
	}
	for _, step := range steps {
		if got := p.appendAfterRound(nil, step.roundRequested); !slices.Equal(got, step.want) {
			t.Errorf("%s: appendAfterRound = %v, want %v", step.name, got, step.want)
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
		{"before the timeout", false, 1, heartbeatResponseTimeout - 1, false},
		{"overdue", false, 1, heartbeatResponseTimeout, true},
		{"idle, before the timeout", true, 1, idleHeartbeatResponseTimeout - 1, false},
		{"idle, overdue", true, 1, idleHeartbeatResponseTimeout, true},
		{"idle, above the limit of idle heartbeats", true, 0, 0, true},
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
				t.Errorf("nextOverdue = %v, want a heartbeat: %v", got, test.want && !test.idle)
			}
			if (gotIdle != nil) != (test.want && test.idle) {
				t.Errorf("nextOverdueIdle = %v, want a heartbeat: %v", gotIdle, test.want && test.idle)
			}
		})
	}
}
