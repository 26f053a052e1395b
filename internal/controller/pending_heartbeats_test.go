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
	p.extend(first)
	second := &pendingHeartbeat{machine: 1}
	if replaced := p.add(second); replaced != first || !first.answered {
		t.Errorf("add replaced %v, answered %v; want the first heartbeat %v, answered", replaced, first.answered, first)
	}
	if p.get(1) != second || p.extendedCount != 0 {
		t.Errorf("got pending heartbeat %v, extended count %d; want the second heartbeat %v, 0", p.get(1), p.extendedCount, second)
	}
	p.markAnswered(second)
	if !p.empty() {
		t.Error("empty = false after both heartbeats were answered, want true")
	}
}

// queueTests change the pending heartbeats of the machines 1, 2 and 3.
var queueTests = []struct {
	name            string
	change          func(p *pendingHeartbeats, list []*pendingHeartbeat)
	overdue         pipeline.MachineIndex   // machine of the next overdue heartbeat, 0 if there is none
	overdueExtended pipeline.MachineIndex   // machine of the next overdue extended heartbeat, 0 if there is none
	all             []pipeline.MachineIndex // machines of all pending heartbeats
}{
	{"all pending", func(*pendingHeartbeats, []*pendingHeartbeat) {}, 1, 0, []pipeline.MachineIndex{1, 2, 3}},
	{"oldest answered", func(p *pendingHeartbeats, list []*pendingHeartbeat) { p.markAnswered(list[0]) }, 2, 0, []pipeline.MachineIndex{2, 3}},
	{"oldest extended", func(p *pendingHeartbeats, list []*pendingHeartbeat) { p.extend(list[0]) }, 2, 1, []pipeline.MachineIndex{1, 2, 3}},
	{"extended twice", func(p *pendingHeartbeats, list []*pendingHeartbeat) {
		p.extend(list[2])
		p.extend(list[2])
	}, 1, 3, []pipeline.MachineIndex{1, 2, 3}},
	{"extended, then answered", func(p *pendingHeartbeats, list []*pendingHeartbeat) {
		p.extend(list[1])
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
			if got := machineOf(p.nextOverdueExtended(longAfter)); got != test.overdueExtended {
				t.Errorf("nextOverdueExtended returned heartbeat of machine %d, want %d", got, test.overdueExtended)
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
			if p.extendedCount != 0 {
				t.Errorf("extendedCount = %d after all heartbeats were answered, want 0", p.extendedCount)
			}
		})
	}
}

func TestHeartbeatsAreCheckedOnChangeAndAfterRounds(t *testing.T) {
	p := newPendingHeartbeats(100)
	addPending(t, &p, 1)
	p.extend(addPending(t, &p, 2))
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
		name          string
		extended      bool
		extendedLimit int
		waited        time.Duration
		want          bool
	}{
		{"before the timeout", false, 1, heartbeatResponseTimeout - 1, false},
		{"overdue", false, 1, heartbeatResponseTimeout, true},
		{"extended, before the timeout", true, 1, extendedResponseTimeout - 1, false},
		{"extended, overdue", true, 1, extendedResponseTimeout, true},
		{"extended, above the limit of extended heartbeats", true, 0, 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newPendingHeartbeats(test.extendedLimit)
			pending := &pendingHeartbeat{machine: 1, receivedAt: begin}
			p.add(pending)
			if test.extended {
				p.extend(pending)
			}
			got, gotExtended := p.nextOverdue(begin+test.waited), p.nextOverdueExtended(begin+test.waited)
			if (got != nil) != (test.want && !test.extended) {
				t.Errorf("nextOverdue = %v, want a heartbeat: %v", got, test.want && !test.extended)
			}
			if (gotExtended != nil) != (test.want && test.extended) {
				t.Errorf("nextOverdueExtended = %v, want a heartbeat: %v", gotExtended, test.want && test.extended)
			}
		})
	}
}

// TestHeartbeatsAwaitView checks that a heartbeat whose start command waits for a fresh view is
// checked again once tasks may be started, and is overdue only after the extended timeout.
func TestHeartbeatsAwaitView(t *testing.T) {
	p := newPendingHeartbeats(100)
	pending := addPending(t, &p, 1)
	p.drainToCheck(nil)
	p.awaitView(pending)
	if got := p.nextOverdue(pending.receivedAt + heartbeatResponseTimeout); got != nil {
		t.Errorf("nextOverdue = %v, want none before the extended timeout", got)
	}
	if got := p.drainAwaitingView(); !slices.Equal(got, []pipeline.MachineIndex{1}) {
		t.Errorf("drainAwaitingView = %v, want [1]", got)
	}
	if got := p.drainAwaitingView(); len(got) != 0 {
		t.Errorf("second drainAwaitingView = %v, want none", got)
	}
	if got := p.nextOverdueExtended(pending.receivedAt + extendedResponseTimeout); got != pending {
		t.Errorf("nextOverdueExtended = %v, want the heartbeat after the extended timeout", got)
	}
}
