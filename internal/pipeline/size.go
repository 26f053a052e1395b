package pipeline

import (
	"slices"
	"sort"
)

// fit encodes a chunk within the limit on values: as every version reads it
// while that fits, else compact once every controller is known to read that.
// Placements that are not stored yet are left out until there is capacity for them,
// those of a gang all together; taken are the others.
func (t *Table) fit(j *Job, ch *Chunk, done []uint64, active, fresh []*Entry) (data []byte, taken []*Entry) {
	encode := func(n int) []byte {
		list := slices.Concat(active, fresh[:n])
		data := encodeRun(t.Names, ch.Attempt, done, list, false)
		if len(data) > t.ValueLimit && t.AllUpgraded() {
			data = encodeRun(t.Names, ch.Attempt, done, list, true)
		}
		return data
	}
	if data = encode(len(fresh)); len(data) <= t.ValueLimit || len(fresh) == 0 {
		return data, fresh
	}
	sort.Slice(fresh, func(a, b int) bool { return fresh[a].Task < fresh[b].Task })
	n := 0
	if j.Shape != Gang {
		n = sort.Search(len(fresh), func(n int) bool { return len(encode(n+1)) > t.ValueLimit })
	}
	return encode(n), fresh[:n]
}

// VersionKey is the kind of the keys v/<label> by which each controller shows,
// for good, that it runs this version.
const VersionKey = "v"

// Version is what is stored there.
var Version = []byte(`{"v":3}`)

// AllUpgraded tells whether every controller has shown that it runs this version.
func (t *Table) AllUpgraded() bool {
	for _, l := range t.Labels {
		if !t.upgraded[l] {
			return false
		}
	}
	return len(t.Labels) > 0
}

// Compact counts the run records that are stored in the compact form.
func (t *Table) Compact() (n int) {
	for _, j := range t.Jobs {
		if j == nil {
			continue
		}
		for c := range j.Chunk {
			if j.Chunk[c].compacted && j.Chunk[c].Version != 0 {
				n++
			}
		}
	}
	return n
}

// ExpandRecords has compact records written plain that fit so again, as they do once
// the limit is the larger one: before the service can go back to a version that
// does not read them. At most limit at a time.
func (t *Table) ExpandRecords(limit int) {
	for _, j := range t.Jobs {
		if j == nil || j.Final != Queued {
			continue
		}
		for c := range j.Chunk {
			ch := &j.Chunk[c]
			if !ch.compacted || ch.dirty || ch.Version == 0 {
				continue
			}
			if limit--; limit < 0 {
				return
			}
			list := make([]*Entry, 0, len(ch.Entries))
			for _, e := range ch.Entries {
				list = append(list, e)
			}
			if len(encodeRun(t.Names, ch.Attempt, ch.Done, list, false)) <= t.ValueLimit {
				t.markDirty(j, ch)
			}
		}
	}
}
