package worker_test

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"lugward/internal/jsonwire"
	"lugward/internal/jsonwire/jsonwiretest"
	"lugward/internal/worker"
	"lugward/internal/worker/workertest"
)

// heartbeatBody returns the text of a heartbeat with the given text of its sequence and
// additional fields.
func heartbeatBody(sequence, more string) []byte {
	return []byte(`{"host":"i-1","addr":"10.1.0.1:9000","flavor":"f","yard":"a","loaners":true,"tenure":2,"tick":` + sequence + `,"fence":3,` + more +
		`"shards":[{"shard":"req-1/0","try":4,"phase":"running"}]}`)
}

// bodyWithReplacement returns the text of a heartbeat in which a part is replaced.
func bodyWithReplacement(sequence, old, replacement string) []byte {
	return []byte(strings.Replace(string(heartbeatBody(sequence, "")), old, replacement, 1))
}

// TestHeartbeatParser checks that a heartbeat is decoded unless it differs from the last one
// only in its sequence, and that the result is the same in either case.
func TestHeartbeatParser(t *testing.T) {
	var parser worker.HeartbeatParser
	for _, c := range []struct {
		name     string
		body     []byte
		sequence uint64
		decoded  bool
	}{
		{"first", heartbeatBody("7", ""), 7, true},
		{"same content", heartbeatBody("8", ""), 8, false},
		{"other whitespace", heartbeatBody(" 10", ""), 10, true},
		{"reclaim notice", heartbeatBody("11", `"recall_s":3.5,`), 11, true},
		{"same reclaim notice", heartbeatBody("12", `"recall_s":3.5,`), 12, false},
		{"two sequences", heartbeatBody("13", `"x":{"tick":13},`), 13, true},
		{"two sequences again", heartbeatBody("14", `"x":{"tick":13},`), 14, true},
		{"another incarnation", bodyWithReplacement("15", `"tenure":2`, `"tenure":3`), 15, true},
		{"not a number", heartbeatBody("08", ""), 0, true},
		{"not a whole number", heartbeatBody("8.5", ""), 0, true},
		{"too large a number", heartbeatBody("18446744073709551616", ""), 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			before := parser.DecodedBytes
			got, err := parser.Parse(c.body)
			if decoded := parser.DecodedBytes > before; decoded != c.decoded {
				t.Errorf("decoded = %v, want %v", decoded, c.decoded)
			}
			want, wantErr := worker.ParseHeartbeat(c.body)
			if (err == nil) != (wantErr == nil) || (err == nil && !reflect.DeepEqual(got, want)) {
				t.Errorf("Parse returned %+v, %v, want %+v, %v", got, err, want, wantErr)
			}
			if err == nil && got.Sequence != c.sequence {
				t.Errorf("sequence = %d, want %d", got.Sequence, c.sequence)
			}
		})
	}
}

// TestSequenceOfUnknownField guards against a sequence that is read from a field that this
// version does not know: it is decoded each time.
func TestSequenceOfUnknownField(t *testing.T) {
	for _, c := range []struct{ name, sequenceField, more string }{
		{"object, sequence missing", ``, `"x":{"tick":SEQUENCE},`},
		{"object, sequence escaped", `"ti\u0063k":0,`, `"x":{"tick":SEQUENCE},`},
		{"escaped sequence later", `"tick":SEQUENCE,`, `"tic\u006b":0,`},
		{"part of a name", ``, `"\"tick":SEQUENCE,`},
		{"other case", ``, `"Tick":SEQUENCE,"TICK":SEQUENCE,`},
	} {
		t.Run(c.name, func(t *testing.T) {
			var parser worker.HeartbeatParser
			for _, sequence := range []string{"0", "5"} {
				text := strings.Replace(string(heartbeatBody("1", c.more)), `"tick":1,`, c.sequenceField, 1)
				body := []byte(strings.ReplaceAll(text, "SEQUENCE", sequence))
				got, err := parser.Parse(body)
				want, wantErr := worker.ParseHeartbeat(body)
				if err != nil || wantErr != nil || got.Sequence != want.Sequence || got.Sequence != 0 {
					t.Errorf("got sequence %v, %v; want 0 and the same as by decoding: %v, %v", got, err, want, wantErr)
				}
			}
		})
	}
}

// TestHeartbeatUnknownFields checks that fields whose names are similar to those of a
// heartbeat do not change it (review case 7 shows the fault for submissions).
func TestHeartbeatUnknownFields(t *testing.T) {
	jsonwiretest.CheckUnknownFields(t, heartbeatBody("7", `"recall_s":3.5,`), func(document []byte) (any, error) {
		var parser worker.HeartbeatParser
		return parser.Parse(document)
	})
}

// TestHeartbeatParserErrors checks that an error names the missing field or is a JSON syntax
// error.
func TestHeartbeatParserErrors(t *testing.T) {
	for _, c := range []struct {
		name    string
		body    []byte
		missing string // name of the missing field, empty if the text is not valid JSON
	}{
		{"machine", bodyWithReplacement("7", `"host":"i-1",`, ""), "host"},
		{"machine type", bodyWithReplacement("7", `"flavor":"f",`, ""), "flavor"},
		{"zone", bodyWithReplacement("7", `"yard":"a",`, ""), "yard"},
		{"incarnation", bodyWithReplacement("7", `"tenure":2,`, ""), "tenure"},
		{"incarnation zero", bodyWithReplacement("7", `"tenure":2,`, `"tenure":0,`), "tenure"},
		{"not an object", heartbeatBody("7", "")[1:], ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			var parser worker.HeartbeatParser
			_, err := parser.Parse(c.body)
			var missing *worker.MissingFieldError
			if errors.As(err, &missing) {
				if missing.Field != c.missing {
					t.Errorf("error %q names field %q, want %q", err, missing.Field, c.missing)
				}
				return
			}
			var syntax *jsonwire.SyntaxError
			if c.missing != "" || !errors.As(err, &syntax) {
				t.Errorf("error = %v, want missing field %q or, if that is empty, a JSON syntax error", err, c.missing)
			}
		})
	}
}

// TestTaskStatusesAreDecoded checks the phases and causes of tasks in a heartbeat. They are
// compared exactly, and unknown ones are accepted.
func TestTaskStatusesAreDecoded(t *testing.T) {
	for _, c := range []struct {
		fields string
		want   worker.TaskStatus // without the name; nothing if the heartbeat is rejected
		valid  bool
	}{
		{`"phase":"running"`, workertest.TaskStatus("", 0, "running", ""), true},
		{`"phase":"exited","cause":"done"`, workertest.TaskStatus("", 0, "exited", "done"), true},
		{`"phase":"exited","cause":"unknown"`, workertest.TaskStatus("", 0, "exited", "unknown"), true},
		{`"phase":"Running","Cause":"done"`, worker.TaskStatus{}, true},
		{`"phase":"later","cause":"later"`, worker.TaskStatus{}, true},
		{`"phase":null,"cause":null`, worker.TaskStatus{}, true},
		{`"phase":"running","phase":"exited","cause":"error"`, workertest.TaskStatus("", 0, "exited", "error"), true},
		{`"phase":3`, worker.TaskStatus{}, false},
		{`"cause":{}`, worker.TaskStatus{}, false},
	} {
		body := `{"host":"i-1","addr":"a","flavor":"f","yard":"a","tenure":2,"tick":1,"fence":3,"shards":[{"shard":"",` + c.fields + `}]}`
		heartbeat, err := worker.ParseHeartbeat([]byte(body))
		if (err == nil) != c.valid {
			t.Errorf("%s: error %v, want valid %t", c.fields, err, c.valid)
		}
		if err == nil && heartbeat.Tasks[0] != c.want {
			t.Errorf("%s: got %+v, want %+v", c.fields, heartbeat.Tasks[0], c.want)
		}
	}
	if running := workertest.TaskStatus("", 0, "running", ""); running.Phase == (worker.TaskStatus{}).Phase {
		t.Error("the phase of a running task is that of an unknown one")
	}
}
