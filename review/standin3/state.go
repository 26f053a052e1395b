package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	keptChanges  = 10_000
	maxPageItems = 1000
	maxPageBytes = 512 << 10
	maxBody      = 64 << 10
)

// entry is a key of the state service.
type entry struct {
	data   json.RawMessage
	stamp  uint64
	tether uint64
}

// change is an entry of the log of changes.
type change struct {
	Write string          `json:"write,omitempty"`
	Drop  string          `json:"drop,omitempty"`
	Data  json.RawMessage `json:"data,omitempty"`
	Stamp uint64          `json:"stamp"`
}

// bucket limits a rate, with bursts of one second's worth.
type bucket struct {
	rate, level float64
	at          time.Time
}

func newBucket(rate float64) bucket { return bucket{rate: rate, level: rate, at: time.Now()} }

func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.level = min(b.rate, b.level+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}

// link is the connection of one controller to the state service.
type link struct {
	refused    bool          // every new request gets 503, and open watches wait
	followWait time.Duration // additional time until a watch or barrier is answered
}

// stateService is the store of PROTOCOL-lugward.md. Each controller has an address of its own, so
// that the service can be refused or slow for one of them.
type stateService struct {
	cfg  *siteConfig
	rec  *recorder
	mu   sync.Mutex
	keys map[string]*entry
	// sorted holds all keys in order.
	sorted []string
	epoch  uint64
	log    []change
	// forgotten is the revision of the last change that the log no longer holds.
	forgotten uint64
	leases    map[uint64]*lease
	nextID    uint64
	wake      chan struct{} // closed and replaced at each change

	requests, writes bucket
	links            []*link
	counts           []stateCounts // by controller
}

// stateCounts counts the requests of a controller.
type stateCounts struct {
	pages, served, limited, refused int
}

type lease struct {
	life time.Duration
	ends time.Time
}

func newStateService(cfg *siteConfig, rec *recorder) *stateService {
	s := &stateService{
		cfg:      cfg,
		rec:      rec,
		keys:     map[string]*entry{},
		leases:   map[uint64]*lease{},
		wake:     make(chan struct{}),
		requests: newBucket(cfg.stateRPS),
		writes:   newBucket(cfg.stateWriteRPS),
	}
	for range cfg.controllers {
		s.links = append(s.links, &link{})
		s.counts = append(s.counts, stateCounts{})
	}
	go s.expireLeases()
	return s
}

// listen serves a controller and returns the address.
func (s *stateService) listen(node int) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(node, w, r) })}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (s *stateService) setLink(node int, set func(*link)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set(s.links[node])
}

func (s *stateService) takeCounts() []stateCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := slices.Clone(s.counts)
	clear(s.counts)
	return counts
}

// get returns the data of a key.
func (s *stateService) get(key string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.keys[key]; e != nil {
		return string(e.data), true
	}
	return "", false
}

func reply(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *stateService) serve(node int, w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.cfg.stateLatency)
	s.mu.Lock()
	switch {
	case s.links[node].refused:
		s.counts[node].refused++
		s.mu.Unlock()
		reply(w, http.StatusServiceUnavailable, map[string]string{"error": "trouble"})
		return
	case !s.requests.take(1):
		s.counts[node].limited++
		s.mu.Unlock()
		reply(w, http.StatusTooManyRequests, map[string]string{"error": "rate"})
		return
	}
	s.counts[node].served++
	s.mu.Unlock()
	path := r.URL.Path
	switch {
	case r.Method == http.MethodGet && path == "/keys":
		s.list(node, w, r)
	case r.Method == http.MethodGet && strings.HasPrefix(path, "/keys/"):
		s.read(w, strings.TrimPrefix(path, "/keys/"))
	case r.Method == http.MethodGet && path == "/follow":
		s.follow(node, w, r)
	case r.Method == http.MethodPost && path == "/commit":
		s.commit(w, r)
	case strings.HasPrefix(path, "/leases"):
		s.lease(w, r)
	default:
		reply(w, http.StatusBadRequest, map[string]string{"error": "unknown"})
	}
}

func (s *stateService) read(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.keys[key]
	if e == nil {
		reply(w, http.StatusNotFound, map[string]any{"epoch": s.epoch})
		return
	}
	reply(w, http.StatusOK, map[string]any{"key": key, "data": e.data, "stamp": e.stamp, "tether": e.tether})
}

func (s *stateService) list(node int, w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key   string          `json:"key"`
		Data  json.RawMessage `json:"data"`
		Stamp uint64          `json:"stamp"`
	}
	query := r.URL.Query()
	prefix, from := query.Get("starts"), query.Get("from")
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPageItems {
		limit = maxPageItems
	}
	s.mu.Lock()
	s.counts[node].pages++
	items := []item{}
	bytes := 0
	more := false
	begin := sort.SearchStrings(s.sorted, max(prefix, from))
	for _, key := range s.sorted[begin:] {
		if key <= from || !strings.HasPrefix(key, prefix) {
			continue
		}
		e := s.keys[key]
		bytes += len(key) + len(e.data) + 40
		if len(items) == limit || bytes > maxPageBytes {
			more = true
			break
		}
		items = append(items, item{key, e.data, e.stamp})
	}
	epoch := s.epoch
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": items, "has_next": more, "epoch": epoch})
}

func (s *stateService) follow(node int, w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get("starts")
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.Now().Add(time.Duration(min(wait, 60_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		refused, extra := s.links[node].refused, s.links[node].followWait
		if from < s.forgotten {
			epoch := s.epoch
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{"epoch": epoch})
			return
		}
		changes := []change{}
		begin := sort.Search(len(s.log), func(i int) bool { return s.log[i].Stamp > from })
		for _, c := range s.log[begin:] {
			if strings.HasPrefix(c.Write+c.Drop, prefix) {
				changes = append(changes, c)
			}
		}
		epoch, wake := s.epoch, s.wake
		s.mu.Unlock()
		if !refused && (len(changes) > 0 || !time.Now().Before(deadline)) {
			time.Sleep(extra)
			reply(w, http.StatusOK, map[string]any{"epoch": epoch, "log": changes})
			return
		}
		timeout := time.Until(deadline)
		if refused {
			timeout = 100 * time.Millisecond
		}
		select {
		case <-wake:
		case <-time.After(timeout):
		case <-r.Context().Done():
			return
		}
	}
}

type condition struct {
	Key   string `json:"key"`
	Stamp uint64 `json:"stamp"`
}

type operation struct {
	Write  string          `json:"write"`
	Drop   string          `json:"drop"`
	Data   json.RawMessage `json:"data"`
	Tether uint64          `json:"tether"`
}

func (s *stateService) commit(w http.ResponseWriter, r *http.Request) {
	var body struct {
		If   []condition `json:"if"`
		Then []operation `json:"then"`
	}
	r.Body = http.MaxBytesReader(w, r.Body, maxBody)
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(body.Then) > s.cfg.stateTxnOps || len(body.If) > 4*s.cfg.stateTxnOps {
		reply(w, http.StatusBadRequest, map[string]string{"error": "too large"})
		return
	}
	for _, op := range body.Then {
		if len(op.Data) > int(s.cfg.stateValueKB*1024) || len(op.Write) > 200 {
			reply(w, http.StatusBadRequest, map[string]string{"error": "value too large"})
			return
		}
	}
	if !s.writes.take(float64(len(body.Then))) {
		reply(w, http.StatusTooManyRequests, map[string]string{"error": "write rate"})
		return
	}
	for _, op := range body.Then {
		if op.Tether != 0 && s.leases[op.Tether] == nil {
			reply(w, http.StatusBadRequest, map[string]string{"error": "no such lease"})
			return
		}
	}
	failed := []string{}
	for _, c := range body.If {
		stamp := uint64(0)
		if e := s.keys[c.Key]; e != nil {
			stamp = e.stamp
		}
		if stamp != c.Stamp {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		reply(w, http.StatusConflict, map[string]any{"failed": failed, "epoch": s.epoch})
		return
	}
	s.apply(body.Then)
	reply(w, http.StatusOK, map[string]any{"epoch": s.epoch})
}

// apply executes operations under one revision. The caller holds the lock.
func (s *stateService) apply(ops []operation) {
	if len(ops) == 0 {
		return
	}
	s.epoch++
	for _, op := range ops {
		if op.Write == "" {
			s.remove(op.Drop)
			continue
		}
		if s.keys[op.Write] == nil {
			at, _ := slices.BinarySearch(s.sorted, op.Write)
			s.sorted = slices.Insert(s.sorted, at, op.Write)
		}
		s.keys[op.Write] = &entry{op.Data, s.epoch, op.Tether}
		s.log = append(s.log, change{Write: op.Write, Data: op.Data, Stamp: s.epoch})
		if s.rec != nil {
			s.rec.log("state %d write %s %.200s", s.epoch, op.Write, op.Data)
		}
	}
	s.changed()
}

func (s *stateService) remove(key string) {
	if s.keys[key] == nil {
		return
	}
	delete(s.keys, key)
	at, _ := slices.BinarySearch(s.sorted, key)
	s.sorted = slices.Delete(s.sorted, at, at+1)
	s.log = append(s.log, change{Drop: key, Stamp: s.epoch})
	if s.rec != nil {
		s.rec.log("state %d drop %s", s.epoch, key)
	}
}

func (s *stateService) changed() {
	if extra := len(s.log) - keptChanges; extra > 0 {
		s.forgotten = s.log[extra-1].Stamp
		s.log = slices.Clone(s.log[extra:])
	}
	close(s.wake)
	s.wake = make(chan struct{})
}

// load adds keys that were written before the test begins.
func (s *stateService) load(keys map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, data := range keys {
		s.epoch++
		s.keys[key] = &entry{data: json.RawMessage(data), stamp: s.epoch}
		s.sorted = append(s.sorted, key)
	}
	slices.Sort(s.sorted)
	s.forgotten = s.epoch
}

func (s *stateService) lease(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(parts) == 1 && r.Method == http.MethodPost {
		var body struct {
			Life int `json:"life_ms"`
		}
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.Life < 100 || body.Life > 600_000 {
			reply(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
			return
		}
		s.nextID++
		life := time.Duration(body.Life) * time.Millisecond
		s.leases[s.nextID] = &lease{life, time.Now().Add(life)}
		reply(w, http.StatusOK, map[string]any{"tether": s.nextID})
		return
	}
	if len(parts) < 2 {
		reply(w, http.StatusBadRequest, map[string]string{"error": "malformed"})
		return
	}
	id, _ := strconv.ParseUint(parts[1], 10, 64)
	l := s.leases[id]
	switch {
	case l == nil:
		reply(w, http.StatusNotFound, map[string]string{"error": "no such lease"})
	case r.Method == http.MethodDelete:
		s.endLease(id)
		reply(w, http.StatusOK, map[string]any{})
	default:
		l.ends = time.Now().Add(l.life)
		reply(w, http.StatusOK, map[string]any{"tether": id})
	}
}

func (s *stateService) endLease(id uint64) {
	delete(s.leases, id)
	var ended []string
	for key, e := range s.keys {
		if e.tether == id {
			ended = append(ended, key)
		}
	}
	if len(ended) == 0 {
		return
	}
	s.epoch++
	for _, key := range ended {
		s.remove(key)
	}
	s.changed()
}

func (s *stateService) expireLeases() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.ends) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}
