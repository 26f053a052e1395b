package pipeline

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// A record is found by its job's ID and by no other, whatever the ID looks like, and is
// what it was.
func TestTerminalRecords(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		id := rapid.OneOf(
			rapid.StringMatching("req-[0-9]{1,19}"),
			rapid.StringMatching("req-0{1,18}[0-9]{0,2}"),
			rapid.SampledFrom([]string{"", "req-", "req-+1", "req--1", "req- 1", "req-1x", "REQ-1", "req-99999999999999999"}),
		)
		finals, want := newTerminalRecords(), map[string]TerminalRecord{}
		for range 50 {
			name := id.Draw(rt, "id")
			terminal := TerminalRecord{
				Phase:     rapid.SampledFrom([]Phase{Done, Cancelled}).Draw(rt, "phase"),
				TaskCount: rapid.OneOf(rapid.IntRange(0, 100_000), rapid.SampledFrom([]int{-1, 1 << 28, 1 << 29, 1 << 30})).Draw(rt, "size"),
				Daemon:    rapid.Bool().Draw(rt, "service"),
			}
			if _, ok := want[name]; !ok {
				want[name] = terminal
				finals.add(name, terminal)
			}
			other := id.Draw(rt, "other")
			for _, asked := range []string{name, other, strings.Replace(name, "-", "-0", 1)} {
				got, ok := finals.Get(asked)
				expected, known := want[asked]
				if ok != known || got != expected || finals.Has(asked) != known {
					rt.Fatalf("%q: %+v %v, not %+v %v", asked, got, ok, expected, known)
				}
			}
		}
	})
}

// Terminal records are kept for ever: what each takes decides for how long a controller can run.
func TestTerminalRecordsMemory(t *testing.T) {
	const marks, limit = 300_000, 48
	heap := func() uint64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := heap()
	finals := newTerminalRecords()
	for i := range marks {
		finals.add(fmt.Sprintf("req-%06d", i), TerminalRecord{Phase: Done, TaskCount: i % 1000})
	}
	each := float64(heap()-before) / marks
	t.Logf("%.1f bytes a record", each)
	if terminal, ok := finals.Get("req-000412"); !ok || terminal.TaskCount != 412 || each > limit {
		t.Errorf("%.1f bytes a record, %+v", each, terminal)
	}
}
