package pipeline

import (
	"maps"
	"slices"
	"sort"
)

// fit encodes a chunk within the limit on values: in the plain format, which every
// version reads, while that fits, else in the compact one once every controller is
// known to read it. Placements that are not stored yet are left out until they fit,
// those of a gang all together; taken are those that are not left out.
func (t *Table) fit(j *Job, ch *Segment, c segmentContent) (data []byte, taken []*Assignment) {
	encode := func(count int) []byte {
		return t.encodeChunk(ch, c.done, slices.Concat(c.active, c.placements[:count]))
	}
	data = encode(len(c.placements))
	if len(data) <= t.ValueLimit || len(c.placements) == 0 {
		return data, c.placements
	}
	sort.Slice(c.placements, func(a, b int) bool { return c.placements[a].Task < c.placements[b].Task })
	count := 0
	if j.Shape != Gang {
		count = sort.Search(len(c.placements), func(count int) bool { return len(encode(count+1)) > t.ValueLimit })
	}
	return encode(count), c.placements[:count]
}

// encodeChunk encodes a chunk's record, plain if it fits or must be plain.
func (t *Table) encodeChunk(ch *Segment, done []uint64, active []*Assignment) []byte {
	data := ch.unknown.appendTo(encodeRun(t.Names, ch.Attempt, done, active, plainFormat))
	if len(data) > t.ValueLimit && t.AllControllersUpgraded() {
		data = ch.unknown.appendTo(encodeRun(t.Names, ch.Attempt, done, active, compactFormat))
	}
	return data
}

// VersionKey is the kind of the keys v/<label> by which each controller shows,
// for good, that it runs this version.
const VersionKey = "v"

// Version is what is stored there.
var Version = []byte(`{"v":3}`)

// AllControllersUpgraded reports whether every controller has shown that it runs this version.
func (t *Table) AllControllersUpgraded() bool {
	for _, label := range t.ControllerLabels {
		if !t.upgraded[label] {
			return false
		}
	}
	return len(t.ControllerLabels) > 0
}

// CompactCount counts the run records that are stored in the compact format.
func (t *Table) CompactCount() (count int) {
	for _, j := range t.Jobs {
		if j == nil {
			continue
		}
		for index := range j.Segments {
			if j.Segments[index].compacted && j.Segments[index].ModRevision != 0 {
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
	for _, j := range t.Jobs {
		if j == nil || j.TerminalPhase != Queued {
			continue
		}
		for index := range j.Segments {
			ch := &j.Segments[index]
			if !ch.compacted || ch.dirty || ch.ModRevision == 0 {
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
func (t *Table) fitsPlain(ch *Segment) bool {
	active := slices.Collect(maps.Values(ch.Assignments))
	data := encodeRun(t.Names, ch.Attempt, ch.Done, active, plainFormat)
	return len(ch.unknown.appendTo(data)) <= t.ValueLimit
}
