package pipeline

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"lugward/internal/kv"
	"lugward/internal/record"
)

var term = kv.Compare{Key: "t/lead", ModRevision: 1}

// queue is a state service's client that lets the test decide what becomes of
// each write.
type queue struct{ list []*kv.Txn }

func (q *queue) Submit(txn *kv.Txn, _ time.Duration) { q.list = append(q.list, txn) }

// next takes the next transaction that has something to write.
func (q *queue) next(t *testing.T) *kv.Txn {
	t.Helper()
	for len(q.list) > 0 {
		txn := q.list[0]
		q.list = q.list[1:]
		if txn.Build == nil || txn.Build(txn) {
			return txn
		}
		txn.Done(kv.Result{Outcome: kv.Aborted})
	}
	t.Fatal("nothing is written")
	return nil
}

// carryOut applies a write as the state service would, and reports its outcome.
func carryOut(table *Table, txn *kv.Txn, revision uint64) {
	for _, w := range txn.Writes {
		kind, rest := splitKey(w.Key)
		table.HandleChange(kind, rest, w.Data, revision)
	}
	txn.Done(kv.Result{Outcome: kv.Committed, Revision: revision})
}

// splitKey splits a key into the kind of what is stored there and the rest.
func splitKey(key string) (kind record.Kind, rest string) {
	first, rest := kv.SplitKey(key)
	return record.Kind(first), rest
}

// nameSpec gives a spec the names that every stored job has.
func nameSpec(names *Names, spec *Spec) {
	spec.Class = names.Classes.Index("c")
	spec.Team = names.Teams.Index("t")
	spec.Image = names.Images.Index("b")
}

// testValueBytes is the limit on values for which tables are laid out.
const testValueBytes = 4096

// newTable returns a table for a limit on the writes of a transaction.
func newTable(txnOps int) *Table {
	return NewTable(Config{Names: &Names{}, LayoutValueBytes: testValueBytes, TxnOps: txnOps})
}

// newJob returns a table with a ready job of n tasks.
func newJob(t *testing.T, n int) (*Table, *Job) {
	t.Helper()
	table := newTable(12)
	job := &Job{ID: "req-1", Ready: true, Spec: Spec{TaskCount: n, CPUs: 1, Zone: -1}}
	nameSpec(table.Names, &job.Spec)
	table.HandleChange(record.KindJob, job.ID, EncodeJob(table.Names, job), 1)
	return table, table.Job(job.ID)
}

// line is a change of a stored key, for tests that replay changes in another order.
type line struct {
	kind    record.Kind
	rest    string
	data    []byte
	version uint64
}

// fixture is a table together with what is stored.
type fixture struct {
	*Table
	revision uint64
	log      []line
}

func newFixture() *fixture {
	r := &fixture{Table: newTable(4)}
	r.SetNow(time.Second)
	r.SetClock(time.Second, time.Unix(1000, 0)) // monotonic time 0 is 999 s
	return r
}

func (r *fixture) write(kind record.Kind, rest string, data []byte) {
	r.revision++
	r.log = append(r.log, line{kind, rest, data, r.revision})
	r.HandleChange(kind, rest, data, r.revision)
}

func id(n int) string { return fmt.Sprintf("req-%06d", n) }

// job stores a held job below others, or one that is ready if there are none.
func (r *fixture) job(n int, set func(*Job), up ...int) *Job {
	job := &Job{
		ID:    id(n),
		Owner: "n0",
		Ready: len(up) == 0,
		Spec:  Spec{TaskCount: 1, CPUs: 1, Priority: Normal, Zone: -1, EstimatedRuntime: 10},
	}
	nameSpec(r.Names, &job.Spec)
	for _, u := range up {
		job.Upstream = append(job.Upstream, id(u))
	}
	if set != nil {
		set(job)
	}
	r.write(record.KindJob, job.ID, EncodeJob(r.Names, job))
	return r.Job(job.ID)
}

// listInParts has a job's upstream jobs listed in other keys.
func (j *Job) listInParts(parts int, modRevision uint64) {
	j.Upstream = nil
	j.UpstreamPages = parts
	j.SubmissionRevision = modRevision
}

func (r *fixture) final(n int, p Phase) {
	job := &Job{Spec: Spec{TaskCount: 1}}
	r.write(record.KindTerminal, id(n), EncodeTerminal(p, job))
}

func idsOf(list []*Job) string {
	s := make([]string, 0, len(list))
	for _, job := range list {
		s = append(s, strings.TrimLeft(strings.TrimPrefix(job.ID, "req-"), "0"))
	}
	return strings.Join(s, " ")
}

func (r *fixture) upstreamCancelledIDs() string { return idsOf(inOrder(r.graph.upstreamCancelled)) }

func expect(t *testing.T, what, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("%s: %q, want %q", what, got, want)
	}
}
