package pipeline

import (
	"encoding/json"
	"testing"
	"time"

	"lugward/internal/record"
)

// Fields written by a later version are preserved when a record is rewritten. Controllers of
// both versions run at the same time during an upgrade.
func TestUnknownFieldsAreKept(t *testing.T) {
	const unknown = `"zz":{"a":[1,2]},"y y":"\"x"`
	check := func(what string, data []byte) {
		t.Helper()
		var fields map[string]json.RawMessage
		if err := json.Unmarshal(data, &fields); err != nil {
			t.Errorf("%s record: %v in %s", what, err, data)
		}
		if string(fields["zz"]) != `{"a":[1,2]}` || string(fields["y y"]) != `"\"x"` {
			t.Errorf("%s record is %s, want it to contain the unknown fields", what, data)
		}
	}
	table, job := newJob(t, 4)
	data := EncodeJob(table.Names, job)
	withUnknown := append(append(data[:len(data)-1:len(data)-1], ','), unknown+"}"...)
	table.HandleChange(record.KindJob, job.ID, withUnknown, 5)
	check("job", EncodeJob(table.Names, table.Job(job.ID)))

	table.HandleChange(record.KindRun, "req-1/0", []byte(`{"t":1,`+unknown+`,"a":[[0,1,"i-1"]]}`), 6)
	if job.ActiveCount() != 1 {
		t.Fatalf("ActiveCount() = %d, want 1", job.ActiveCount())
	}
	table.Assign(job, 1, 3, 0, 1)
	table.Names.Machines.Index("i-2")
	table.Names.Machines.Index("i-3")
	table.Names.Machines.Index("i-4")
	txns := &txnQueue{}
	table.Flush(0, term, txns)
	txn := txns.next(t)
	check("run", txn.Writes[0].Data)

	table.HandleChange(record.KindRetry, job.ID, []byte(`{"n":1,`+unknown+`}`), 7)
	table.BackOff(job, time.Second)
	txns = &txnQueue{}
	table.FlushRetries(time.Second, term, txns)
	check("retry", txns.next(t).Writes[0].Data)
}
