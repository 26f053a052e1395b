package pipeline

import (
	"cmp"
	"maps"
	"slices"
	"sort"

	"lugward/internal/record"
)

// fit encodes a segment within the limit on values: in the plain format, which every
// version reads, while that fits, else in the compact one once every controller is
// known to read it. Placements that are not stored yet are left out until they fit,
// those of a gang all together; taken are those that are not left out.
func (t *Table) fit(j *Job, ch *segment, c segmentContent) (data []byte, taken []*Assignment) {
	slices.SortFunc(c.placements, func(a, b *Assignment) int { return cmp.Compare(a.Task, b.Task) })
	active := t.assignmentRecords(c.active)
	placements := t.assignmentRecords(c.placements)
	encode := func(count int) []byte {
		return t.encodeSegment(ch, c.done, slices.Concat(active, placements[:count]))
	}
	data = encode(len(placements))
	if len(data) <= t.config.ValueLimit || len(placements) == 0 {
		return data, c.placements
	}
	count := 0
	if j.Shape != Gang {
		count = sort.Search(len(placements), func(count int) bool { return len(encode(count+1)) > t.config.ValueLimit })
	}
	return encode(count), c.placements[:count]
}

// assignmentRecords returns the stored form of assignments.
func (t *Table) assignmentRecords(assignments []*Assignment) []record.Assignment {
	list := make([]record.Assignment, len(assignments))
	for i, e := range assignments {
		list[i] = record.Assignment{Task: e.Task, Attempt: e.Attempt, Machine: t.Names.Machines.Name(e.Machine)}
	}
	return list
}

// encodeSegment encodes a segment's record, plain if it fits or must be plain.
func (t *Table) encodeSegment(ch *segment, done []uint64, active []record.Assignment) []byte {
	run := record.Run{Attempt: ch.attempt, Done: done, Active: active, Unknown: ch.unknown}
	data := run.Encode()
	if len(data) > t.config.ValueLimit && t.AllControllersUpgraded() {
		run.Format = record.Compact
		data = run.Encode()
	}
	return data
}

// AllControllersUpgraded reports whether every controller has shown that it runs this version.
func (t *Table) AllControllersUpgraded() bool {
	for _, label := range t.config.ControllerLabels {
		if !t.upgraded[label] {
			return false
		}
	}
	return len(t.config.ControllerLabels) > 0
}

// CompactCount counts the run records that are stored in the compact format.
func (t *Table) CompactCount() (count int) {
	for j := range t.AllJobs() {
		for index := range j.segments {
			if j.segments[index].format == record.Compact && j.segments[index].modRevision != 0 {
				count++
			}
		}
	}
	return count
}

// ExpandRecords has compact records written in the plain format where that fits
// again, as it does once the larger limit counts: needed before the service can go
// back to a version that does not read the compact one. At most limit at a time.
func (t *Table) ExpandRecords(limit int) {
	for j := range t.AllJobs() {
		if j.TerminalPhase != Queued {
			continue
		}
		for index := range j.segments {
			ch := &j.segments[index]
			if ch.format == record.Plain || ch.dirty || ch.modRevision == 0 {
				continue
			}
			if limit == 0 {
				return
			}
			limit--
			if t.fitsPlain(ch) {
				t.noteSegmentChanged(j, ch)
			}
		}
	}
}

// fitsPlain reports whether a chunk as it is fits in the plain format.
func (t *Table) fitsPlain(ch *segment) bool {
	assignments := slices.Collect(maps.Values(ch.assignments))
	run := record.Run{Attempt: ch.attempt, Done: ch.done, Active: t.assignmentRecords(assignments), Unknown: ch.unknown}
	return len(run.Encode()) <= t.config.ValueLimit
}
