package pipeline

import (
	"cmp"
	"maps"
	"slices"
	"sort"

	"lugward/internal/record"
)

// encodeWithinLimit encodes a segment within the value size limit. It uses the plain format,
// which every version can read, if the record fits in it. Otherwise it uses the compact
// format, provided that every controller is known to read it. Placements that are not
// persisted yet are deferred until they fit; those of a gang are included all together or not
// at all. included lists the placements that the record contains.
func (t *Table) encodeWithinLimit(job *Job, segment *segment, content segmentContent) (data []byte, included []*Assignment) {
	placements := content.placements
	encode := func(count int) []byte {
		return t.encodeSegment(segment, content.done, t.assignmentRecords(content.active, placements[:count]))
	}
	data = encode(len(placements))
	if len(data) <= t.config.ValueLimit || len(placements) == 0 {
		return data, placements
	}
	slices.SortFunc(placements, func(a, b *Assignment) int { return cmp.Compare(a.Task, b.Task) })
	count := 0
	if job.Shape != Gang {
		count = sort.Search(len(placements), func(count int) bool { return len(encode(count+1)) > t.config.ValueLimit })
	}
	return encode(count), placements[:count]
}

// assignmentRecords returns the assignments of two lists as they are written to a record.
func (t *Table) assignmentRecords(first, second []*Assignment) []record.Assignment {
	records := make([]record.Assignment, 0, len(first)+len(second))
	for _, assignments := range [...][]*Assignment{first, second} {
		for _, assignment := range assignments {
			records = append(records, record.Assignment{
				Task:    assignment.Task,
				Attempt: assignment.Attempt,
				Machine: t.Names.Machines.Name(assignment.Machine),
			})
		}
	}
	return records
}

// encodeSegment encodes a segment's record. It uses the compact format only if the plain one
// exceeds the value size limit and all controllers can read the compact one.
func (t *Table) encodeSegment(segment *segment, done []uint64, active []record.Assignment) []byte {
	run := record.Run{MaxAttempt: segment.attempt, Done: done, Active: active, Unknown: segment.unknown}
	data := run.Encode()
	if len(data) > t.config.ValueLimit && t.AllControllersUpgraded() {
		run.Format = record.Compact
		data = run.Encode()
	}
	return data
}

// AllControllersUpgraded reports whether every controller has announced this version.
func (t *Table) AllControllersUpgraded() bool {
	for _, label := range t.config.ControllerLabels {
		if !t.upgraded[label] {
			return false
		}
	}
	return len(t.config.ControllerLabels) > 0
}

// CompactCount returns the number of run records that are persisted in the compact format.
func (t *Table) CompactCount() (count int) {
	for job := range t.AllJobs() {
		for index := range job.segments {
			if job.segments[index].format == record.Compact && job.segments[index].modRevision != 0 {
				count++
			}
		}
	}
	return count
}

// ExpandRecords marks up to limit compact records to be rewritten in the plain format if
// they fit in it, which they do once the larger value size limit applies. The service must
// not be downgraded to a version that cannot read the compact format before all records are
// plain.
func (t *Table) ExpandRecords(limit int) {
	for job := range t.AllJobs() {
		if job.TerminalPhase != Queued {
			continue
		}
		for index := range job.segments {
			segment := &job.segments[index]
			if segment.format == record.Plain || segment.unsaved || segment.modRevision == 0 {
				continue
			}
			if limit == 0 {
				return
			}
			limit--
			if t.fitsPlain(segment) {
				t.markSegmentUnsaved(job, segment)
			}
		}
	}
}

// fitsPlain reports whether the current content of a segment fits in the plain format.
func (t *Table) fitsPlain(segment *segment) bool {
	assignments := slices.Collect(maps.Values(segment.assignments))
	run := record.Run{
		MaxAttempt: segment.attempt,
		Done:       segment.done,
		Active:     t.assignmentRecords(assignments, nil),
		Unknown:    segment.unknown,
	}
	return len(run.Encode()) <= t.config.ValueLimit
}
