package controller

import (
	"testing"
	"time"

	"lugward/internal/event"
	"lugward/internal/kv"
)

// fakeVersionStore records the submitted writes of a version record.
type fakeVersionStore struct {
	synced      bool
	modRevision uint64
	submitted   []*kv.Txn
}

func (s *fakeVersionStore) Synced() bool                     { return s.synced }
func (s *fakeVersionStore) ModRevision(string) uint64        { return s.modRevision }
func (s *fakeVersionStore) Submit(txn *kv.Txn, _ event.Time) { s.submitted = append(s.submitted, txn) }

func TestVersionWriteConditions(t *testing.T) {
	tests := []struct {
		name      string
		store     fakeVersionStore
		hasLeader bool
		want      int // number of writes
	}{
		{"record is missing", fakeVersionStore{synced: true}, true, 1},
		{"record exists", fakeVersionStore{synced: true, modRevision: 7}, true, 0},
		{"watch cache is not complete", fakeVersionStore{}, true, 0},
		{"there is no leader", fakeVersionStore{synced: true}, false, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			version := newVersionPublication("b", []string{"a", "b"})
			for now := time.Second; now < time.Minute; now += time.Second {
				version.tick(now, &test.store, test.hasLeader)
			}
			if got := len(test.store.submitted); got != test.want {
				t.Errorf("tick submitted %d writes, want %d", got, test.want)
			}
		})
	}
}

func TestVersionWritesAreStaggeredAndRetried(t *testing.T) {
	store := &fakeVersionStore{synced: true}
	version := newVersionPublication("b", []string{"a", "b"})
	begin := time.Second
	firstAt := begin + versionRetryInterval + versionStagger
	steps := []struct {
		name   string
		now    event.Time
		writes int // number of writes so far
		failed bool
	}{
		{"watch cache is complete", begin, 0, false},
		{"before the first attempt", firstAt - 1, 0, false},
		{"first attempt", firstAt, 1, false},
		{"in flight", firstAt + time.Hour, 1, true},
		{"before the second attempt", firstAt + time.Hour + versionRetryInterval - 1, 1, false},
		{"second attempt", firstAt + time.Hour + versionRetryInterval, 2, false},
	}
	for _, step := range steps {
		version.tick(step.now, store, true)
		if got := len(store.submitted); got != step.writes {
			t.Errorf("%s: tick submitted %d writes, want %d", step.name, got, step.writes)
		}
		if step.failed {
			store.submitted[len(store.submitted)-1].Done(kv.Result{Now: step.now})
		}
	}
}
