package api

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"testing"

	"lugward/internal/event"
)

const (
	valueBytes = 2048
	txnOps     = 4
)

// fakeStore is a fake of the state service that enforces its limits.
type fakeStore struct {
	t           *testing.T
	keys        map[string]storedValue
	log         []change
	revision    uint64
	unavailable bool
	// loseResponse reports whether the response to a transaction with this body is
	// lost. delay reports whether the transaction is executed only when executeDelayed
	// is called.
	loseResponse, delay func(body string) bool
	delayed             []string
	// overLimit reports whether a transaction with this body exceeds the write rate.
	overLimit func(body string) bool
	// hold reports whether a transaction with this body gets neither a response nor an
	// execution until the test ends its call, whose ID is added to heldCalls.
	hold      func(body string) bool
	heldCalls []uint64
	txns      []string // bodies of all transactions
}

// storedValue is the current value of a key.
type storedValue struct {
	data        json.RawMessage
	modRevision uint64
}

// change is one change of a key. Data is nil if the key was deleted.
type change struct {
	key         string
	data        json.RawMessage
	modRevision uint64
}

// txnRequest is the request body of a transaction.
type txnRequest struct {
	Compares []struct {
		Key         string `json:"key"`
		ModRevision uint64 `json:"stamp"`
	} `json:"if"`
	Writes []struct {
		Put    string          `json:"write"`
		Delete string          `json:"drop"`
		Data   json.RawMessage `json:"data"`
	} `json:"then"`
}

func newFakeStore(t *testing.T) *fakeStore {
	t.Helper()
	return &fakeStore{t: t, keys: map[string]storedValue{}}
}

// put sets a key, or deletes it if data is nil, as a write by another controller.
func (s *fakeStore) put(key string, data []byte) {
	s.revision++
	s.set(key, data)
}

func (s *fakeStore) set(key string, data []byte) {
	if data == nil {
		delete(s.keys, key)
	} else {
		s.keys[key] = storedValue{data, s.revision}
	}
	s.log = append(s.log, change{key, data, s.revision})
}

// execute executes a transaction and returns the status and body of its response.
func (s *fakeStore) execute(body string) (int, string) {
	s.t.Helper()
	var txn txnRequest
	if err := json.Unmarshal([]byte(body), &txn); err != nil {
		s.t.Fatal(err)
	}
	if txn.exceedsLimits() || len(body) > 64<<10 {
		s.t.Errorf("transaction exceeds the limits: %d writes, %d compares, %d bytes", len(txn.Writes), len(txn.Compares), len(body))
		return 400, "{}"
	}
	var failed []string
	for _, c := range txn.Compares {
		if s.keys[c.Key].modRevision != c.ModRevision {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		return 409, s.encode(map[string]any{"failed": failed, "epoch": s.revision})
	}
	s.revision++
	for _, w := range txn.Writes {
		if w.Delete != "" {
			s.set(w.Delete, nil)
		} else {
			s.set(w.Put, w.Data)
		}
	}
	return 200, fmt.Sprintf(`{"epoch":%d}`, s.revision)
}

func (txn *txnRequest) exceedsLimits() bool {
	for _, w := range txn.Writes {
		if len(w.Data) > valueBytes {
			return true
		}
	}
	return len(txn.Writes) > txnOps || len(txn.Compares) > 4*txnOps
}

func (s *fakeStore) encode(response any) string {
	s.t.Helper()
	b, err := json.Marshal(response)
	if err != nil {
		s.t.Fatal(err)
	}
	return string(b)
}

// executeDelayed executes the delayed transactions.
func (s *fakeStore) executeDelayed() {
	for _, body := range s.delayed {
		s.execute(body)
	}
	s.delayed = nil
}

// serve returns the response to a call. It returns ok = false for a watch request and for a
// held transaction, which stay open without a response.
func (s *fakeStore) serve(c event.Call) (status int, body string, ok bool) {
	s.t.Helper()
	u, err := url.Parse(c.Path)
	if err != nil {
		s.t.Fatal(err)
	}
	switch {
	case u.Path == "/follow" && u.Query().Get("wait_ms") != "0":
		return 0, "", false
	case s.unavailable:
		return 503, "", true
	case u.Path == "/keys":
		return 200, s.allKeys(), true
	case u.Path == "/follow":
		from, err := strconv.ParseUint(u.Query().Get("from"), 10, 64)
		if err != nil {
			s.t.Fatal(err)
		}
		return 200, s.changesSince(from), true
	}
	s.txns = append(s.txns, string(c.Body))
	if s.overLimit != nil && s.overLimit(string(c.Body)) {
		return 429, "", true
	}
	if s.hold != nil && s.hold(string(c.Body)) {
		s.heldCalls = append(s.heldCalls, c.ID)
		return 0, "", false
	}
	if s.delay != nil && s.delay(string(c.Body)) {
		s.delayed = append(s.delayed, string(c.Body))
		return 0, "", true
	}
	status, body = s.execute(string(c.Body))
	if s.loseResponse != nil && s.loseResponse(string(c.Body)) {
		return 0, "", true
	}
	return status, body, true
}

// changesSince returns the body of a watch response with all changes after a revision.
func (s *fakeStore) changesSince(revision uint64) string {
	s.t.Helper()
	list := []map[string]any{}
	for _, c := range s.log {
		switch {
		case c.modRevision <= revision:
		case c.data == nil:
			list = append(list, map[string]any{"drop": c.key, "stamp": c.modRevision})
		default:
			list = append(list, map[string]any{"write": c.key, "data": c.data, "stamp": c.modRevision})
		}
	}
	return s.encode(map[string]any{"epoch": s.revision, "log": list})
}

// upstreamPages returns the stored pages of the upstream list of req-1.
func (s *fakeStore) upstreamPages() (pages []string) {
	for n := 0; ; n++ {
		value, ok := s.keys[fmt.Sprintf("u/req-1/%d", n)]
		if !ok {
			return pages
		}
		pages = append(pages, string(value.data))
	}
}

// interrupt makes the store delay the first write of a key or lose the response to it.
// The returned bool is set when that has happened.
func (s *fakeStore) interrupt(key string, delay bool) *bool {
	interrupted := new(bool)
	first := func(body string) bool {
		if *interrupted || !writes(body, key) {
			return false
		}
		*interrupted = true
		return true
	}
	if delay {
		s.delay = first
	} else {
		s.loseResponse = first
	}
	return interrupted
}

// allKeys returns the response to a request for the keys, all in one page.
func (s *fakeStore) allKeys() string {
	s.t.Helper()
	items := make([]map[string]any, 0, len(s.keys))
	for _, key := range slices.Sorted(maps.Keys(s.keys)) {
		items = append(items, map[string]any{"key": key, "data": s.keys[key].data, "stamp": s.keys[key].modRevision})
	}
	return s.encode(map[string]any{"items": items, "has_next": false, "epoch": s.revision})
}
