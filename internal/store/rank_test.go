package store

import (
	"strings"
	"testing"
	"time"
)

// Of one priority the greater rank goes first, equal ones in their order; what
// nobody waits for goes last.
func TestOrderOfIntents(t *testing.T) {
	b := newBench(Limits{TxnOps: 1, RPS: 100, WriteRPS: 100})
	for _, intent := range []struct {
		key      string
		priority Priority
		rank     int
	}{{"cleanup", Cleanup, 9}, {"low", Progress, 0}, {"first", Progress, 1}, {"second", Progress, 1}, {"place", Place, 0}} {
		in, _ := write(intent.key)
		in.Priority, in.Rank = intent.priority, intent.rank
		b.Submit(in, b.now+time.Minute)
	}
	var order []string
	for range 20 {
		b.wait(100 * time.Millisecond)
		for _, call := range b.take("/commit") {
			for _, key := range []string{"cleanup", "low", "first", "second", "place"} {
				if strings.Contains(string(call.Body), `"`+key+`"`) {
					order = append(order, key)
				}
			}
			b.answer(call, 200, `{"epoch":9}`)
		}
	}
	if got := strings.Join(order, " "); got != "place first second low cleanup" {
		t.Error(got)
	}
}
