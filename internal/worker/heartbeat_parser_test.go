package worker_test

import (
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"

	"lugward/internal/worker"
)

// heartbeatBody is the text of a heartbeat with the given text of its sequence, and
// with more fields.
func heartbeatBody(sequence, more string) []byte {
	return []byte(`{"host":"i-1","addr":"10.1.0.1:9000","flavor":"f","yard":"a","loaners":true,"tenure":2,"tick":` + sequence + `,"fence":3,` + more +
		`"shards":[{"shard":"req-1/0","try":4,"phase":"running"}]}`)
}

// replaced is a heartbeat in whose text a part is replaced.
func replaced(sequence, old, replacement string) []byte {
	return []byte(strings.Replace(string(heartbeatBody(sequence, "")), old, replacement, 1))
}

// TestHeartbeatParser: a heartbeat that says what the last one said is not decoded
// again, and comes out the same; whatever else differs is.
func TestHeartbeatParser(t *testing.T) {
	var parser worker.HeartbeatParser
	for _, c := range []struct {
		name     string
		body     []byte
		sequence uint64
		decoded  bool
	}{
		{"the first", heartbeatBody("7", ""), 7, true},
		{"the same", heartbeatBody("8", ""), 8, false},
		{"written otherwise", heartbeatBody(" 10", ""), 10, true},
		{"a notice", heartbeatBody("11", `"recall_s":3.5,`), 11, true},
		{"the same notice", heartbeatBody("12", `"recall_s":3.5,`), 12, false},
		{"two sequences", heartbeatBody("13", `"x":{"tick":13},`), 13, true},
		{"two sequences again", heartbeatBody("14", `"x":{"tick":13},`), 14, true},
		{"another incarnation", replaced("15", `"tenure":2`, `"tenure":3`), 15, true},
		{"not a number", heartbeatBody("08", ""), 0, true},
		{"not a whole number", heartbeatBody("8.5", ""), 0, true},
		{"too large a number", heartbeatBody("18446744073709551616", ""), 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			before := parser.DecodedBytes
			got, err := parser.Parse(c.body)
			if decoded := parser.DecodedBytes > before; decoded != c.decoded {
				t.Errorf("decoded %v", decoded)
			}
			want, wantErr := worker.ParseHeartbeat(c.body)
			if (err == nil) != (wantErr == nil) || (err == nil && !reflect.DeepEqual(got, want)) {
				t.Errorf("%+v (%v), not %+v (%v)", got, err, want, wantErr)
			}
			if err == nil && got.Sequence != c.sequence {
				t.Errorf("sequence %d", got.Sequence)
			}
		})
	}
}

// TestHeartbeatParserErrors: an error says which field is missing, or what is wrong
// with the JSON text.
func TestHeartbeatParserErrors(t *testing.T) {
	for _, c := range []struct {
		name    string
		body    []byte
		missing string // the field; "": the text is no JSON
	}{
		{"machine", replaced("7", `"host":"i-1",`, ""), "host"},
		{"machine type", replaced("7", `"flavor":"f",`, ""), "flavor"},
		{"zone", replaced("7", `"yard":"a",`, ""), "yard"},
		{"incarnation", replaced("7", `"tenure":2,`, ""), "tenure"},
		{"incarnation zero", replaced("7", `"tenure":2,`, `"tenure":0,`), "tenure"},
		{"no object", heartbeatBody("7", "")[1:], ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			var parser worker.HeartbeatParser
			_, err := parser.Parse(c.body)
			var missing *worker.MissingFieldError
			if errors.As(err, &missing) {
				if missing.Field != c.missing {
					t.Errorf("%v, not %q", err, c.missing)
				}
				return
			}
			var syntax *json.SyntaxError
			if c.missing != "" || !errors.As(err, &syntax) {
				t.Errorf("error %v", err)
			}
		})
	}
}
