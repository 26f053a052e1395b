package pipeline

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"lugward/internal/event"
	"lugward/internal/kv"
	"lugward/internal/record"
)

var term = kv.Compare{Key: "t/lead", ModRevision: 1}

// txnQueue is a TxnSubmitter that lets the test determine the result of each
// transaction.
type txnQueue struct{ list []*kv.Txn }

func (q *txnQueue) Submit(txn *kv.Txn, _ time.Duration) { q.list = append(q.list, txn) }

// next removes and returns the next transaction that has something to write.
func (q *txnQueue) next(t *testing.T) *kv.Txn {
	t.Helper()
	for len(q.list) > 0 {
		txn := q.list[0]
		q.list = q.list[1:]
		if txn.Build == nil || txn.Build(txn) {
			return txn
		}
		txn.Done(kv.Result{Outcome: kv.Aborted})
	}
	t.Fatal("no transaction with a write is queued, want at least 1")
	return nil
}

// rejectAll rejects every queued transaction that has something to write. It returns their
// number.
func (q *txnQueue) rejectAll(now event.Time) (rejected int) {
	for len(q.list) > 0 {
		txn := q.list[0]
		q.list = q.list[1:]
		if txn.Build == nil || txn.Build(txn) {
			rejected++
			txn.Done(kv.Result{Outcome: kv.Rejected, Now: now})
		} else {
			txn.Done(kv.Result{Outcome: kv.Aborted, Now: now})
		}
	}
	return rejected
}

// commit applies a transaction like the state service and passes on its result.
func commit(table *Table, txn *kv.Txn, revision uint64) {
	commitAt(table, txn, revision, 0)
}

// commitAt is like commit at the given monotonic time.
func commitAt(table *Table, txn *kv.Txn, revision uint64, now event.Time) {
	for _, write := range txn.Writes {
		kind, rest := splitKey(write.Key)
		table.HandleChange(kind, rest, write.Data, revision)
	}
	txn.Done(kv.Result{Outcome: kv.Committed, Revision: revision, Now: now})
}

// splitKey splits a key into the kind of the record and the rest.
func splitKey(key string) (kind record.Kind, rest string) {
	first, rest := kv.SplitKey(key)
	return record.Kind(first), rest
}

// nameSpec sets the class, team and image that every job record has.
func nameSpec(names *Names, spec *Spec) {
	spec.Class = names.Classes.Index("c")
	spec.Team = names.Teams.Index("t")
	spec.Image = names.Images.Index("b")
}

// testValueBytes is the LayoutValueBytes of the tables in tests.
const testValueBytes = 4096

// newTable returns a table with the given limit on the writes of a transaction.
func newTable(txnOps int) *Table {
	return NewTable(Config{Names: &Names{}, LayoutValueBytes: testValueBytes, TxnOps: txnOps})
}

// newJob returns a table with a ready job of n tasks.
func newJob(t *testing.T, n int) (*Table, *Job) {
	t.Helper()
	table := newTable(12)
	job := &Job{ID: "req-1", Ready: true, Spec: Spec{TaskCount: n, CPUs: 1, Zone: AnyZone}}
	nameSpec(table.Names, &job.Spec)
	table.HandleChange(record.KindJob, job.ID, EncodeJob(table.Names, job), 1)
	return table, table.Job(job.ID)
}

// change is a change of a stored key, for tests that replay changes in another order.
type change struct {
	kind        record.Kind
	rest        string
	data        []byte
	modRevision uint64
}

// fixture is a table with the changes that were stored so far.
type fixture struct {
	*Table
	revision uint64
	log      []change
}

func newFixture() *fixture {
	f := &fixture{Table: newTable(4)}
	f.SetNow(time.Second)
	f.SetClock(time.Second, time.Unix(1000, 0)) // monotonic time 0 is 999 s of Unix time
	return f
}

// store stores a key and applies the change to the table.
func (f *fixture) store(kind record.Kind, rest string, data []byte) {
	f.revision++
	f.log = append(f.log, change{kind, rest, data, f.revision})
	f.HandleChange(kind, rest, data, f.revision)
}

// commit applies a transaction like the state service and passes on its result.
func (f *fixture) commit(txn *kv.Txn) {
	f.revision++
	for _, write := range txn.Writes {
		kind, rest := splitKey(write.Key)
		f.log = append(f.log, change{kind, rest, write.Data, f.revision})
	}
	commit(f.Table, txn, f.revision)
}

// replay returns the table of another controller that sees the same changes.
func (f *fixture) replay() *fixture {
	other := newFixture()
	for _, stored := range f.log {
		other.HandleChange(stored.kind, stored.rest, stored.data, stored.modRevision)
	}
	other.revision = f.revision
	other.log = f.log
	return other
}

// allJobs is a predicate that is true for all jobs.
func allJobs(*Job) bool { return true }

// id returns the ID of the job with the given number.
func id(n int) string { return fmt.Sprintf("req-%06d", n) }

// addJob stores a job with the given upstream jobs. The job is held, or ready if it has no
// upstream jobs.
func (f *fixture) addJob(n int, modify func(*Job), upstream ...int) *Job {
	job := &Job{
		ID:    id(n),
		Owner: "n0",
		Ready: len(upstream) == 0,
		Spec:  Spec{TaskCount: 1, CPUs: 1, Priority: Normal, Zone: AnyZone, EstimatedRuntime: 10},
	}
	nameSpec(f.Names, &job.Spec)
	for _, number := range upstream {
		job.Upstream = append(job.Upstream, id(number))
	}
	if modify != nil {
		modify(job)
	}
	f.store(record.KindJob, job.ID, EncodeJob(f.Names, job))
	return f.Job(job.ID)
}

// usePages records that the job's upstream jobs are stored in pages.
func (j *Job) usePages(pages int, modRevision uint64) {
	j.Upstream = nil
	j.UpstreamPages = pages
	j.SubmissionRevision = modRevision
}

// storeTerminal stores the terminal record of a job.
func (f *fixture) storeTerminal(n int, phase Phase) {
	job := &Job{Spec: Spec{TaskCount: 1}}
	f.store(record.KindTerminal, id(n), EncodeTerminal(phase, job))
}

// idsOf returns the numbers of jobs, separated by spaces.
func idsOf(list []*Job) string {
	numbers := make([]string, 0, len(list))
	for _, job := range list {
		numbers = append(numbers, strings.TrimLeft(strings.TrimPrefix(job.ID, "req-"), "0"))
	}
	return strings.Join(numbers, " ")
}

func (f *fixture) upstreamCancelledIDs() string {
	return idsOf(inCreationOrder(f.graph.upstreamCancelled))
}

func expect(t *testing.T, what, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %q, want %q", what, got, want)
	}
}
