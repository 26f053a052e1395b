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

// stateLimits are the limits of the state service as the settings name them.
type stateLimits struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
}

const (
	maxPageItems   = 1000
	maxPageBytes   = 512 << 10
	keptChanges    = 10_000
	maxCommitBytes = 64 << 10
	maxFollowWait  = 60 * time.Second
)

// stateFault is what the state service does with the requests of one controller.
type stateFault int

const (
	stateServes  stateFault = iota
	stateRefuses            // 503, not executed; open watches wait
)

type storedKey struct {
	data  json.RawMessage
	stamp uint64
	lease uint64
}

type stateLease struct {
	life    time.Duration
	expires time.Time
}

type change struct {
	Write string          `json:"write,omitempty"`
	Drop  string          `json:"drop,omitempty"`
	Data  json.RawMessage `json:"data,omitempty"`
	Stamp uint64          `json:"stamp"`
}

// bucket is a token bucket that holds the tokens of the given number of seconds.
type bucket struct {
	rate, seconds, level float64
	at                   time.Time
}

func newBucket(rate, seconds float64) bucket {
	return bucket{rate, seconds, rate * seconds, time.Now()}
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.level = min(b.rate*b.seconds, b.level+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

// stateService is a stand-in of the state service. Each controller has an address of
// its own, so that a fault can concern one of them.
type stateService struct {
	limits  stateLimits
	latency time.Duration

	mu        sync.Mutex
	keys      map[string]storedKey
	sorted    []string // all keys in order, nil if it has to be built again
	epoch     uint64
	log       []change
	leases    map[uint64]*stateLease
	lastLease uint64
	requests  bucket
	writes    bucket
	changed   chan struct{} // closed at the next change or change of a fault
	faults    []stateFault
	statuses  []map[int]int // responses by controller and status
	pages     []int         // pages of keys that were served, by controller
	closed    bool
}

func newStateService(limits stateLimits, controllers int, latency time.Duration) *stateService {
	s := &stateService{
		limits:   limits,
		latency:  latency,
		keys:     map[string]storedKey{},
		leases:   map[uint64]*stateLease{},
		requests: newBucket(limits.RPS, 1),
		writes:   newBucket(limits.WriteRPS, 1),
		changed:  make(chan struct{}),
		faults:   make([]stateFault, controllers),
		pages:    make([]int, controllers),
	}
	for range controllers {
		s.statuses = append(s.statuses, map[int]int{})
	}
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			s.mu.Lock()
			if s.closed {
				s.mu.Unlock()
				return
			}
			s.expireLeases()
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *stateService) setFault(controller int, fault stateFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[controller] = fault
	s.wake()
}

func (s *stateService) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// outage reports whether all controllers are refused; leases then do not run out.
func (s *stateService) outage() bool {
	return !slices.Contains(s.faults, stateServes)
}

func (s *stateService) expireLeases() {
	if s.outage() {
		for _, lease := range s.leases {
			lease.expires = time.Now().Add(lease.life)
		}
		return
	}
	for id, lease := range s.leases {
		if time.Now().After(lease.expires) {
			s.endLease(id)
		}
	}
}

func (s *stateService) endLease(id uint64) {
	delete(s.leases, id)
	var drops []string
	for key, value := range s.keys {
		if value.lease == id {
			drops = append(drops, key)
		}
	}
	if len(drops) == 0 {
		return
	}
	slices.Sort(drops)
	s.epoch++
	for _, key := range drops {
		s.apply(change{Drop: key, Stamp: s.epoch}, 0)
	}
	s.wake()
}

func (s *stateService) apply(c change, lease uint64) {
	if c.Drop != "" {
		if _, ok := s.keys[c.Drop]; ok {
			s.sorted = nil
		}
		delete(s.keys, c.Drop)
	} else {
		if _, ok := s.keys[c.Write]; !ok {
			s.sorted = nil
		}
		s.keys[c.Write] = storedKey{c.Data, c.Stamp, lease}
	}
	s.log = append(s.log, c)
	if len(s.log) > 2*keptChanges {
		s.log = slices.Clone(s.log[len(s.log)-keptChanges:])
	}
}

// preload stores values as controllers would have written them earlier.
func (s *stateService) preload(key, data string) (stamp uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	s.apply(change{Write: key, Data: json.RawMessage(data), Stamp: s.epoch}, 0)
	return s.epoch
}

// statusCounts returns the responses to one controller by status, and the pages served.
func (s *stateService) statusCounts(controller int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var codes []int
	for code := range s.statuses[controller] {
		codes = append(codes, code)
	}
	slices.Sort(codes)
	text := fmt.Sprintf("pages=%d", s.pages[controller])
	for _, code := range codes {
		text += fmt.Sprintf(" %d=%d", code, s.statuses[controller][code])
	}
	return text
}

// handler returns the service as one controller reaches it.
func (s *stateService) handler(controller int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := readBody(r)
		time.Sleep(s.latency)
		status, answer := s.serve(controller, r, body)
		s.mu.Lock()
		s.statuses[controller][status]++
		s.mu.Unlock()
		writeJSON(w, status, answer)
	})
}

type object map[string]any

func (s *stateService) serve(controller int, r *http.Request, body []byte) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults[controller] == stateRefuses {
		return 503, object{"error": "trouble"}
	}
	if !s.requests.take(1) {
		return 429, object{"error": "too many requests"}
	}
	path := r.URL.Path
	switch {
	case path == "/keys" && r.Method == "GET":
		return s.list(controller, r)
	case strings.HasPrefix(path, "/keys/") && r.Method == "GET":
		key := strings.TrimPrefix(path, "/keys/")
		if value, ok := s.keys[key]; ok {
			return 200, object{"key": key, "data": value.data, "stamp": value.stamp, "tether": value.lease}
		}
		return 404, object{"epoch": s.epoch}
	case path == "/commit" && r.Method == "POST":
		return s.commit(body)
	case path == "/follow" && r.Method == "GET":
		return s.follow(controller, r)
	case path == "/leases" && r.Method == "POST":
		var request struct {
			Life int64 `json:"life_ms"`
		}
		if json.Unmarshal(body, &request) != nil || request.Life < 100 || request.Life > 600_000 {
			return 400, object{"error": "malformed"}
		}
		s.lastLease++
		life := time.Duration(request.Life) * time.Millisecond
		s.leases[s.lastLease] = &stateLease{life, time.Now().Add(life)}
		return 200, object{"tether": s.lastLease}
	case strings.HasPrefix(path, "/leases/"):
		rest, extend := strings.CutSuffix(strings.TrimPrefix(path, "/leases/"), "/extend")
		id, _ := strconv.ParseUint(rest, 10, 64)
		lease := s.leases[id]
		switch {
		case lease == nil:
			return 404, object{"error": "no such lease"}
		case extend && r.Method == "POST":
			lease.expires = time.Now().Add(lease.life)
		case !extend && r.Method == "DELETE":
			s.endLease(id)
		default:
			return 400, object{"error": "malformed"}
		}
		return 200, object{"tether": id}
	}
	return 400, object{"error": "malformed"}
}

func (s *stateService) list(controller int, r *http.Request) (int, any) {
	query := r.URL.Query()
	limit, _ := strconv.Atoi(query.Get("limit"))
	if limit <= 0 || limit > maxPageItems {
		limit = maxPageItems
	}
	if s.sorted == nil {
		for key := range s.keys {
			s.sorted = append(s.sorted, key)
		}
		slices.Sort(s.sorted)
	}
	from, starts := query.Get("from"), query.Get("starts")
	at := sort.SearchStrings(s.sorted, max(from, starts))
	items, bytes, more := []object{}, 0, false
	for _, key := range s.sorted[at:] {
		if key == from || !strings.HasPrefix(key, starts) {
			continue
		}
		value := s.keys[key]
		bytes += len(key) + len(value.data) + 60
		if len(items) == limit || bytes > maxPageBytes {
			more = true
			break
		}
		items = append(items, object{"key": key, "data": value.data, "stamp": value.stamp})
	}
	s.pages[controller]++
	return 200, object{"items": items, "has_next": more, "epoch": s.epoch}
}

func (s *stateService) commit(body []byte) (int, any) {
	var request struct {
		If []struct {
			Key   string `json:"key"`
			Stamp uint64 `json:"stamp"`
		} `json:"if"`
		Then []struct {
			Write string          `json:"write"`
			Drop  string          `json:"drop"`
			Data  json.RawMessage `json:"data"`
			Lease uint64          `json:"tether"`
		} `json:"then"`
	}
	if len(body) > maxCommitBytes || json.Unmarshal(body, &request) != nil ||
		len(request.Then) > s.limits.TxnOps || len(request.If) > 4*s.limits.TxnOps {
		return 400, object{"error": "malformed"}
	}
	if !s.writes.take(float64(len(request.Then))) {
		return 429, object{"error": "too many changes"}
	}
	for _, op := range request.Then {
		if op.Lease != 0 && s.leases[op.Lease] == nil {
			return 400, object{"error": "no such lease"}
		}
		if float64(len(op.Data)) > s.limits.ValueKB*1024 {
			return 400, object{"error": "value too large"}
		}
	}
	failed := []string{}
	for _, condition := range request.If {
		if s.keys[condition.Key].stamp != condition.Stamp {
			failed = append(failed, condition.Key)
		}
	}
	if len(failed) > 0 {
		return 409, object{"failed": failed, "epoch": s.epoch}
	}
	if len(request.Then) > 0 {
		s.epoch++
		for _, op := range request.Then {
			s.apply(change{Write: op.Write, Drop: op.Drop, Data: op.Data, Stamp: s.epoch}, op.Lease)
		}
		s.wake()
	}
	return 200, object{"epoch": s.epoch}
}

// follow waits for changes. It is called, and returns, with the lock held.
func (s *stateService) follow(controller int, r *http.Request) (int, any) {
	query := r.URL.Query()
	from, err := strconv.ParseUint(query.Get("from"), 10, 64)
	if err != nil {
		return 400, object{"error": "malformed"}
	}
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.Now().Add(min(time.Duration(wait)*time.Millisecond, maxFollowWait))
	starts := query.Get("starts")
	for {
		refused := s.faults[controller] == stateRefuses
		if !refused {
			if len(s.log) > 0 && from+1 < s.log[0].Stamp {
				return 410, object{"error": "too old"}
			}
			at, _ := slices.BinarySearchFunc(s.log, from+1, func(c change, stamp uint64) int {
				if c.Stamp < stamp {
					return -1
				}
				return 1
			})
			changes := []change{}
			for _, c := range s.log[at:] {
				if strings.HasPrefix(c.Write+c.Drop, starts) {
					changes = append(changes, c)
				}
			}
			if len(changes) > 0 || !time.Now().Before(deadline) {
				return 200, object{"epoch": s.epoch, "log": changes}
			}
		}
		woken := s.changed
		s.mu.Unlock()
		timer := time.NewTimer(max(time.Until(deadline), 20*time.Millisecond))
		select {
		case <-woken:
		case <-timer.C:
		case <-r.Context().Done():
		}
		timer.Stop()
		s.mu.Lock()
		if s.closed || r.Context().Err() != nil {
			return 503, object{"error": "trouble"}
		}
	}
}

func (s *stateService) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.wake()
}
