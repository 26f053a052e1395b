package pipeline

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"lugward/internal/store"
)

const (
	// maxPartDeletions bounds the deletions of parts in flight: nothing waits for them.
	maxPartDeletions = 4
	// orphanTimeout, in ns, is how long a list may show without its job's record
	// before it counts as left behind by an attempt that failed.
	orphanTimeout = int64(time.Minute)
	// RivalTimeout is how long a list that another attempt to submit the job began
	// keeps others from beginning anew.
	RivalTimeout = 6 * time.Second
)

// PartKey is the kind of the keys that store a long list of upstream jobs:
// u/<id>/<n>. Part 0's version stands for the attempt to submit the job: the
// other parts and the job's record are written on condition of it.
const PartKey = "u"

// PartKeyOf names a part of a job's list.
func PartKeyOf(id string, n int) string { return PartKey + "/" + id + "/" + strconv.Itoa(n) }

// part is one stored part of a list of upstream jobs.
type part struct {
	version uint64
	ids     []string
}

// parts are what is stored of a job's list.
type parts struct {
	byNumber   map[int]part
	shownSince int64 // steady time in ns at which part 0 showed, or any if it has none
}

// idPrefix begins the IDs of all jobs; stored lists leave it out.
const idPrefix = "req-"

// partOverhead is what an ID adds to a part beside itself, in bytes: the space
// before it and the quote that ends the part.
const partOverhead = 2

// EncodeParts returns the stored form of a list of upstream jobs, in values
// of at most limit bytes.
func EncodeParts(ids []string, limit int) [][]byte {
	var list [][]byte
	text := []byte{'"'}
	for _, id := range ids {
		id = strings.TrimPrefix(id, idPrefix)
		if len(text) > 1 && len(text)+len(id)+partOverhead > limit {
			list = append(list, append(text, '"'))
			text = []byte{'"'}
		}
		if len(text) > 1 {
			text = append(text, ' ')
		}
		text = append(text, id...)
	}
	return append(list, append(text, '"'))
}

func decodePart(data []byte) (ids []string, ok bool) {
	var text string
	if json.Unmarshal(data, &text) != nil {
		return nil, false
	}
	for _, id := range strings.Fields(text) {
		ids = append(ids, idPrefix+id)
	}
	return ids, true
}

// onPart takes a part of the replica.
func (t *Table) onPart(id string, n int, data []byte, version uint64) {
	p := t.graph.parts[id]
	if data == nil {
		if p != nil {
			delete(p.byNumber, n)
			if len(p.byNumber) == 0 {
				delete(t.graph.parts, id)
			}
		}
		return
	}
	ids, ok := decodePart(data)
	if !ok {
		ids = nil // damaged: it counts as a part, so that it is deleted with the others
	}
	if p == nil {
		p = &parts{byNumber: map[int]part{}, shownSince: t.Now}
		t.graph.parts[id] = p
	}
	if n == 0 {
		p.shownSince = t.Now
	}
	p.byNumber[n] = part{version, ids}
	if j := t.byID[id]; j != nil {
		t.linkIfComplete(j)
	}
}

// upstreamList returns the whole list of a job's upstream jobs; false: parts of it
// are missing, or are still those of an earlier attempt to submit the job.
func (t *Table) upstreamList(j *Job) (list []string, complete bool) {
	if j.UpstreamParts == 0 {
		return slices.Clone(j.Upstream), true
	}
	p := t.graph.parts[j.ID]
	if p == nil {
		return nil, false
	}
	for n := range j.UpstreamParts {
		part, ok := p.byNumber[n]
		if !ok || (n == 0 && part.version != j.SubmissionVersion) || part.version < j.SubmissionVersion {
			return nil, false
		}
		list = append(list, part.ids...)
	}
	return list, true
}

// SubmissionAttempt returns the version of the attempt to submit a job that part 0 of its
// list stands for, and for how long it has shown; 0: there is none.
func (t *Table) SubmissionAttempt(id string, now time.Duration) (version uint64, shown time.Duration) {
	p := t.graph.parts[id]
	if p == nil {
		return 0, 0
	}
	return p.byNumber[0].version, now - time.Duration(p.shownSince)
}

// DeleteStaleParts deletes the lists that nobody needs: those of jobs that are ready
// or over, and those that failed attempts to submit left behind.
func (t *Table) DeleteStaleParts(now time.Duration, term store.Condition, s Submitter) {
	if len(t.graph.parts) == 0 || t.graph.partDeletionsInFlight > 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(t.graph.parts)) {
		if t.partsNeeded(id, now) {
			continue
		}
		for _, n := range t.graph.parts[id].deletable() {
			if t.graph.partDeletionsInFlight >= maxPartDeletions {
				return
			}
			t.deletePart(id, n, now, term, s)
		}
	}
}

// accepted reports whether a job's record is stored.
func (t *Table) accepted(id string) bool {
	j := t.byID[id]
	return j != nil && j.Version != 0
}

// partsNeeded reports whether a list belongs to a held job, or to an attempt to
// submit one that may still succeed.
func (t *Table) partsNeeded(id string, now time.Duration) bool {
	if t.Finals.Has(id) {
		return false
	}
	if t.accepted(id) {
		return !t.byID[id].Ready
	}
	return int64(now)-t.graph.parts[id].shownSince < orphanTimeout
}

// deletable returns the parts that may be deleted now: part 0 first and alone, so
// that nothing is added to an attempt that is being deleted.
func (p *parts) deletable() []int {
	if _, ok := p.byNumber[0]; ok {
		return []int{0}
	}
	return slices.Sorted(maps.Keys(p.byNumber))
}

// deletePart queues the deletion of a part on condition of its version, and without
// a record of the job on condition that there is still none: a late attempt that
// has just made the job accepted keeps its list.
func (t *Table) deletePart(id string, n int, now time.Duration, term store.Condition, s Submitter) {
	conditions := []store.Condition{term}
	if n != 0 {
		conditions = append(conditions, store.Condition{Key: PartKeyOf(id, 0)})
	}
	conditions = append(conditions, store.Condition{Key: PartKeyOf(id, n), Version: t.graph.parts[id].byNumber[n].version})
	if !t.accepted(id) {
		conditions = append(conditions, store.Condition{Key: JobKeyOf(id)})
	}
	t.graph.partDeletionsInFlight++
	s.Submit(&store.Intent{
		Priority:   store.Progress,
		Conditions: conditions,
		Writes:     []store.Write{{Key: PartKeyOf(id, n)}},
		Done:       func(store.Result) { t.graph.partDeletionsInFlight-- },
	}, now+writeTimeout)
}
