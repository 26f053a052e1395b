package pipeline

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"lugward/internal/store"
)

// PartKey is the kind of the keys that hold a long list of upstream jobs:
// u/<id>/<n>. Part 0's version stands for the attempt to submit the job: the
// other parts and the job's record are written on condition of it.
const PartKey = "u"

// PartKeyOf names a part of a job's list.
func PartKeyOf(id string, n int) string { return PartKey + "/" + id + "/" + strconv.Itoa(n) }

type part struct {
	version uint64
	ids     []string
}

// parts are what is stored of a job's list.
type parts struct {
	held map[int]part
	seen int64 // steady time at which this part 0 (or any, if it has none) showed
}

const idPrefix = "req-"

// EncodeParts returns the stored form of a list of upstream jobs, in values
// of at most limit bytes.
func EncodeParts(ids []string, limit int) [][]byte {
	var list [][]byte
	text := []byte{'"'}
	for _, id := range ids {
		id = strings.TrimPrefix(id, idPrefix)
		if len(text) > 1 && len(text)+len(id)+2 > limit {
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

func (t *Table) onPart(id string, n int, data []byte, version uint64) {
	p := t.graph.parts[id]
	if data == nil {
		if p != nil {
			delete(p.held, n)
			if len(p.held) == 0 {
				delete(t.graph.parts, id)
			}
		}
		return
	}
	ids, ok := decodePart(data)
	if !ok {
		ids = nil // never written by us; it is there to be dropped
	}
	if p == nil {
		p = &parts{held: map[int]part{}, seen: t.Now}
		t.graph.parts[id] = p
	}
	if n == 0 {
		p.seen = t.Now
	}
	p.held[n] = part{version, ids}
	if j := t.byID[id]; j != nil {
		t.assemble(j)
	}
}

// SubmissionAttempt returns the version of the attempt to submit a job that part 0 of its
// list stands for, and for how long it has shown; 0: there is none.
func (t *Table) SubmissionAttempt(id string, now time.Duration) (version uint64, shown time.Duration) {
	p := t.graph.parts[id]
	if p == nil {
		return 0, 0
	}
	return p.held[0].version, now - time.Duration(p.seen)
}

// DeleteStaleParts drops the lists that nobody needs: of jobs that are ready or over,
// and what attempts to submit left behind. Part 0 goes first, so that nothing
// is added to an attempt that is being dropped.
func (t *Table) DeleteStaleParts(now time.Duration, term store.Condition, s Submitter) {
	if len(t.graph.parts) == 0 || t.graph.deleting > 0 {
		return
	}
	ids := make([]string, 0, len(t.graph.parts))
	for id := range t.graph.parts {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		p, j := t.graph.parts[id], t.byID[id]
		_, over := t.Finals[id]
		accepted := j != nil && j.Version != 0
		if !over && ((accepted && !j.Ready) || (!accepted && int64(now)-p.seen < orphanTimeout)) {
			continue
		}
		first, zero := p.held[0]
		list := make([]int, 0, len(p.held))
		for n := range p.held {
			if zero == (n == 0) {
				list = append(list, n)
			}
		}
		slices.Sort(list)
		for _, n := range list {
			if t.graph.deleting >= maxDeletingParts {
				return
			}
			conds := []store.Condition{term}
			if n == 0 {
				conds = append(conds, store.Condition{Key: PartKeyOf(id, 0), Version: first.version})
			} else {
				conds = append(conds, store.Condition{Key: PartKeyOf(id, 0)}, store.Condition{Key: PartKeyOf(id, n), Version: p.held[n].version})
			}
			if !accepted {
				conds = append(conds, store.Condition{Key: JobKeyOf(id)})
			}
			t.graph.deleting++
			s.Submit(&store.Intent{Priority: store.Progress, Conditions: conds, Writes: []store.Write{{Key: PartKeyOf(id, n)}},
				Done: func(store.Result) { t.graph.deleting-- }}, now+writeTimeout)
		}
	}
}
