package pipeline

import (
	"encoding/json"
	"testing"
	"time"

	"lugward/internal/record"
)

// Fields of a later version survive when a record is written again: controllers of
// both versions serve while they are replaced.
func TestUnknownFieldsAreKept(t *testing.T) {
	const unknown = `"zz":{"a":[1,2]},"y y":"\"x"`
	check := func(what string, data []byte) {
		t.Helper()
		var fields map[string]json.RawMessage
		if err := json.Unmarshal(data, &fields); err != nil {
			t.Errorf("%s: %v in %s", what, err, data)
		}
		if string(fields["zz"]) != `{"a":[1,2]}` || string(fields["y y"]) != `"\"x"` {
			t.Errorf("%s: %s", what, data)
		}
	}
	tb, j := newJob(t, 4)
	data := EncodeJob(tb.Names, j)
	withUnknown := append(append(data[:len(data)-1:len(data)-1], ','), unknown+"}"...)
	tb.HandleChange(record.KindJob, j.ID, withUnknown, 5)
	check("job", EncodeJob(tb.Names, tb.Job(j.ID)))

	tb.HandleChange(record.KindRun, "req-1/0", []byte(`{"t":1,`+unknown+`,"a":[[0,1,"i-1"]]}`), 6)
	if j.ActiveCount() != 1 {
		t.Fatalf("%d entries", j.ActiveCount())
	}
	tb.Assign(j, 1, 3, 0, 1)
	tb.Names.Machines.Index("i-2")
	tb.Names.Machines.Index("i-3")
	tb.Names.Machines.Index("i-4")
	q := &queue{}
	tb.Flush(0, term, q)
	write := q.next(t)
	check("run", write.Writes[0].Data)

	tb.HandleChange(record.KindRetry, j.ID, []byte(`{"n":1,`+unknown+`}`), 7)
	tb.BackOff(j, time.Second)
	q = &queue{}
	tb.FlushRetries(time.Second, term, q)
	check("retry", q.next(t).Writes[0].Data)
}
