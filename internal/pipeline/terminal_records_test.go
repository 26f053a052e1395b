package pipeline

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// A record is found unchanged under its job's ID and under no other ID, whatever the form of
// the ID.
func TestTerminalRecords(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		id := rapid.OneOf(
			rapid.StringMatching("req-[0-9]{1,19}"),
			rapid.StringMatching("req-0{1,18}[0-9]{0,2}"),
			rapid.SampledFrom([]string{"", "req-", "req-+1", "req--1", "req- 1", "req-1x", "REQ-1", "req-99999999999999999"}),
		)
		records, want := newTerminalRecords(), map[string]TerminalRecord{}
		for range 50 {
			name := id.Draw(rt, "id")
			terminal := TerminalRecord{
				Phase:     rapid.SampledFrom([]Phase{Done, Cancelled}).Draw(rt, "phase"),
				TaskCount: rapid.OneOf(rapid.IntRange(0, 100_000), rapid.SampledFrom([]int{-1, 1 << 28, 1 << 29, 1 << 30})).Draw(rt, "task count"),
				Daemon:    rapid.Bool().Draw(rt, "daemon"),
			}
			if _, ok := want[name]; !ok {
				want[name] = terminal
				records.add(name, terminal)
			}
			other := id.Draw(rt, "other")
			for _, queried := range []string{name, other, strings.Replace(name, "-", "-0", 1)} {
				got, ok := records.Get(queried)
				expected, known := want[queried]
				if ok != known || got != expected || records.Has(queried) != known {
					rt.Fatalf("Get(%q) = %+v, %v, want %+v, %v", queried, got, ok, expected, known)
				}
			}
		}
	})
}

// Terminal records are never deleted, so their size limits how long a controller can run.
func TestTerminalRecordsMemory(t *testing.T) {
	const count, limitBytes = 300_000, 48
	heap := func() uint64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := heap()
	records := newTerminalRecords()
	for i := range count {
		records.add(fmt.Sprintf("req-%06d", i), TerminalRecord{Phase: Done, TaskCount: i % 1000})
	}
	bytesEach := float64(heap()-before) / count
	t.Logf("%.1f bytes per record", bytesEach)
	if terminal, ok := records.Get("req-000412"); !ok || terminal.TaskCount != 412 || bytesEach > limitBytes {
		t.Errorf("%.1f bytes per record, record of req-000412 is %+v; want at most 48 bytes and a task count of 412", bytesEach, terminal)
	}
}
