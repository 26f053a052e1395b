package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stateService is a stand-in of the state service: one process, all data in memory.
type stateService struct {
	mu       sync.Mutex
	changed  chan struct{} // closed and replaced at each change
	revision uint64
	items    map[string]stateItem
	keys     []string // of items, sorted
	log      []stateChange
	trimmed  uint64 // revision up to which the log has been cut off
	leases   map[uint64]*stateLease
	lastID   uint64
	limits   stateLimits
	requests bucket
	writes   bucket
	handled  int // requests that were executed
	refused  int // requests answered with 429
}

type stateLimits struct {
	rps, writeRPS float64
	valueBytes    int
	txnOps        int
	latency       time.Duration
}

type stateItem struct {
	data  json.RawMessage
	stamp uint64
	lease uint64
}

// stateChange is an entry of the log. data is nil if the key was deleted.
type stateChange struct {
	key   string
	data  json.RawMessage
	stamp uint64
}

type stateLease struct {
	ttl     time.Duration
	expires time.Time
}

// bucket is a token bucket that holds the tokens of one second, or of burst seconds.
type bucket struct {
	rate, burst, tokens float64
	at                  time.Time
}

func (b *bucket) take(now time.Time, n float64) bool {
	size := b.rate * max(1, b.burst)
	if !b.at.IsZero() {
		b.tokens = min(size, b.tokens+b.rate*now.Sub(b.at).Seconds())
	} else {
		b.tokens = size
	}
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

const (
	maxStateBody = 64 << 10
	maxPageItems = 1000
	maxPageBytes = 512 << 10
	keptChanges  = 10000
)

func newStateService(limits stateLimits) *stateService {
	return &stateService{
		changed:  make(chan struct{}),
		items:    map[string]stateItem{},
		leases:   map[uint64]*stateLease{},
		limits:   limits,
		requests: bucket{rate: limits.rps},
		writes:   bucket{rate: limits.writeRPS},
	}
}

// expireLeases ends the leases that were not renewed in time.
func (s *stateService) expireLeases(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, lease := range s.leases {
		if now.After(lease.expires) {
			s.endLease(id)
		}
	}
}

func (s *stateService) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for key, item := range s.items {
		if item.lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.revision++
	for _, key := range keys {
		s.remove(key)
		s.log = append(s.log, stateChange{key: key, stamp: s.revision})
	}
	s.wake()
}

// trimLog cuts off all but the last changes.
func (s *stateService) trimLog() {
	if excess := len(s.log) - keptChanges; excess > 0 {
		s.trimmed = s.log[excess-1].stamp
		s.log = s.log[excess:]
	}
}

func (s *stateService) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key.
func (s *stateService) put(key string, item stateItem) {
	if at, found := slices.BinarySearch(s.keys, key); !found {
		s.keys = slices.Insert(s.keys, at, key)
	}
	s.items[key] = item
}

// remove removes a key.
func (s *stateService) remove(key string) {
	if at, found := slices.BinarySearch(s.keys, key); found {
		s.keys = slices.Delete(s.keys, at, at+1)
	}
	delete(s.items, key)
}

// get returns the value of a key, for the scenarios.
func (s *stateService) get(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].data
}

// counts returns the numbers of requests, for the record.
func (s *stateService) counts() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d requests within the rate, %d answered with 429", s.handled, s.refused)
}

func (s *stateService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.limits.latency)
	s.mu.Lock()
	allowed := s.requests.take(time.Now(), 1)
	if allowed {
		s.handled++
	} else {
		s.refused++
	}
	s.mu.Unlock()
	if !allowed {
		reply(w, http.StatusTooManyRequests, nil)
		return
	}
	path := r.URL.Path
	switch {
	case path == "/keys" && r.Method == http.MethodGet:
		s.list(w, r)
	case strings.HasPrefix(path, "/keys/") && r.Method == http.MethodGet:
		s.read(w, strings.TrimPrefix(path, "/keys/"))
	case path == "/commit" && r.Method == http.MethodPost:
		s.commit(w, r)
	case path == "/follow" && r.Method == http.MethodGet:
		s.follow(w, r)
	case strings.HasPrefix(path, "/leases"):
		s.lease(w, r, strings.TrimPrefix(path, "/leases"))
	default:
		reply(w, http.StatusBadRequest, nil)
	}
}

func (s *stateService) read(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[key]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"epoch": s.revision})
		return
	}
	reply(w, http.StatusOK, map[string]any{"key": key, "data": item.data, "stamp": item.stamp, "tether": item.lease})
}

func (s *stateService) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPageItems {
		limit = maxPageItems
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	first, found := slices.BinarySearch(s.keys, query.Get("from"))
	if found {
		first++
	}
	items := []map[string]any{}
	size, more := 0, false
	for _, key := range s.keys[first:] {
		if !strings.HasPrefix(key, query.Get("starts")) {
			continue
		}
		item := s.items[key]
		size += len(key) + len(item.data) + 60
		if len(items) == limit || size > maxPageBytes {
			more = true
			break
		}
		items = append(items, map[string]any{"key": key, "data": item.data, "stamp": item.stamp})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_next": more, "epoch": s.revision})
}

type commitBody struct {
	If []struct {
		Key   string `json:"key"`
		Stamp uint64 `json:"stamp"`
	} `json:"if"`
	Then []struct {
		Write  string          `json:"write"`
		Drop   string          `json:"drop"`
		Data   json.RawMessage `json:"data"`
		Tether uint64          `json:"tether"`
	} `json:"then"`
}

func (s *stateService) commit(w http.ResponseWriter, r *http.Request) {
	var body commitBody
	raw, err := readBody(r, maxStateBody)
	if err != nil || json.Unmarshal(raw, &body) != nil {
		reply(w, http.StatusBadRequest, map[string]any{"error": "malformed"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.writes.take(time.Now(), float64(len(body.Then))) {
		reply(w, http.StatusTooManyRequests, nil)
		return
	}
	if len(body.Then) > s.limits.txnOps || len(body.If) > 4*s.limits.txnOps {
		reply(w, http.StatusBadRequest, map[string]any{"error": "too many operations"})
		return
	}
	for _, op := range body.Then {
		if len(op.Data) > s.limits.valueBytes || len(op.Write) > 200 || (op.Write == "") == (op.Drop == "") {
			reply(w, http.StatusBadRequest, map[string]any{"error": "malformed operation"})
			return
		}
		if op.Tether != 0 && s.leases[op.Tether] == nil {
			reply(w, http.StatusBadRequest, map[string]any{"error": "no such lease"})
			return
		}
	}
	failed := []string{}
	for _, condition := range body.If {
		if s.items[condition.Key].stamp != condition.Stamp {
			failed = append(failed, condition.Key)
		}
	}
	if len(failed) > 0 {
		reply(w, http.StatusConflict, map[string]any{"failed": failed, "epoch": s.revision})
		return
	}
	if len(body.Then) > 0 {
		s.revision++
		for _, op := range body.Then {
			if op.Drop != "" {
				if _, ok := s.items[op.Drop]; ok {
					s.remove(op.Drop)
					s.log = append(s.log, stateChange{key: op.Drop, stamp: s.revision})
				}
				continue
			}
			s.put(op.Write, stateItem{data: op.Data, stamp: s.revision, lease: op.Tether})
			s.log = append(s.log, stateChange{key: op.Write, data: op.Data, stamp: s.revision})
		}
		s.trimLog()
		s.wake()
	}
	reply(w, http.StatusOK, map[string]any{"epoch": s.revision})
}

func (s *stateService) follow(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(min(wait, 60000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if from < s.trimmed {
			s.mu.Unlock()
			reply(w, http.StatusGone, nil)
			return
		}
		changes := []map[string]any{}
		for i := sort.Search(len(s.log), func(i int) bool { return s.log[i].stamp > from }); i < len(s.log); i++ {
			change := s.log[i]
			if !strings.HasPrefix(change.key, query.Get("starts")) {
				continue
			}
			if change.data == nil {
				changes = append(changes, map[string]any{"drop": change.key, "stamp": change.stamp})
			} else {
				changes = append(changes, map[string]any{"write": change.key, "data": change.data, "stamp": change.stamp})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		expired := wait <= 0
		if len(changes) == 0 && !expired {
			select {
			case <-changed:
				continue
			case <-timeout:
			case <-r.Context().Done():
				return
			}
		}
		reply(w, http.StatusOK, map[string]any{"epoch": revision, "log": changes})
		return
	}
}

func (s *stateService) lease(w http.ResponseWriter, r *http.Request, path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if path == "" && r.Method == http.MethodPost {
		var body struct {
			Life int64 `json:"life_ms"`
		}
		raw, err := readBody(r, maxStateBody)
		if err != nil || json.Unmarshal(raw, &body) != nil || body.Life < 100 || body.Life > 600000 {
			reply(w, http.StatusBadRequest, nil)
			return
		}
		s.lastID++
		ttl := time.Duration(body.Life) * time.Millisecond
		s.leases[s.lastID] = &stateLease{ttl: ttl, expires: time.Now().Add(ttl)}
		reply(w, http.StatusOK, map[string]any{"tether": s.lastID})
		return
	}
	text, action, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	id, _ := strconv.ParseUint(text, 10, 64)
	lease := s.leases[id]
	switch {
	case lease == nil:
		reply(w, http.StatusNotFound, nil)
	case action == "extend" && r.Method == http.MethodPost:
		lease.expires = time.Now().Add(lease.ttl)
		reply(w, http.StatusOK, map[string]any{"tether": id})
	case action == "" && r.Method == http.MethodDelete:
		s.endLease(id)
		reply(w, http.StatusOK, map[string]any{})
	default:
		reply(w, http.StatusBadRequest, nil)
	}
}
