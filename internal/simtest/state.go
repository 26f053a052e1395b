package simtest

import (
	"encoding/json"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"time"
)

// state is a stand-in of the state service, written from its published
// protocol.
type state struct {
	w        *World
	keys     map[string]stateKey
	revision uint64
	oldest   uint64 // changes from before are not kept
	log      []stateChange
	leases   map[uint64]*stateLease
	last     uint64
	waits    []*stateWait
	down     bool

	requests, writes budget
	refused          int // for exceeding them
	written          int // keys put and dropped
	lowering
}

// stateBurst is how many seconds' worth of requests or writes may come at once.
const stateBurst = 1

// budget is a rate with bursts.
type budget struct {
	used float64
	at   time.Duration
}

// take tells whether n more are allowed now; a burst is as many as come in that many
// seconds at the rate.
func (b *budget) take(now time.Duration, rate, burstSeconds, n float64) bool {
	b.used = max(0, b.used-rate*(now-b.at).Seconds())
	b.at = now
	if b.used+n > rate*burstSeconds {
		return false
	}
	b.used += n
	return true
}

type stateKey struct {
	data    json.RawMessage
	version uint64
	leaseID uint64
}

type stateChange struct {
	Write   string          `json:"write,omitempty"`
	Drop    string          `json:"drop,omitempty"`
	Data    json.RawMessage `json:"data,omitempty"`
	Version uint64          `json:"stamp"`
}

type stateLease struct {
	life time.Duration
	ends time.Duration
}

type stateWait struct {
	from    uint64
	answer  func(int, any)
	expired bool
}

const logKept = 10000

func newState(w *World) *state {
	return &state{w: w, keys: map[string]stateKey{}, leases: map[uint64]*stateLease{}}
}

// serve answers a request, at once or (for a watch) later.
func (s *state) serve(method, target string, body []byte, answer func(status int, v any)) {
	if s.down {
		answer(503, unavailable)
		return
	}
	s.expire()
	if !s.requests.take(s.w.now, s.limits().rps, stateBurst, 1) {
		s.refused++
		answer(429, nil)
		return
	}
	u, err := url.Parse(target)
	if err != nil {
		answer(400, nil)
		return
	}
	switch {
	case u.Path == "/keys" && method == "GET":
		answer(200, s.list(u.Query()))
	case u.Path == "/commit" && method == "POST":
		if !s.lag(body) {
			answer(s.commit(body))
		}
	case u.Path == "/leases" && method == "POST":
		answer(s.grantLease(body))
	case strings.HasPrefix(u.Path, "/leases/"):
		answer(s.changeLease(method, strings.TrimPrefix(u.Path, "/leases/")))
	case u.Path == "/follow":
		s.follow(u.Query(), answer)
	default:
		answer(404, nil)
	}
}

// Limits of a lease's duration in milliseconds.
const (
	minLeaseMS = 100
	maxLeaseMS = 600_000
)

func (s *state) grantLease(body []byte) (int, any) {
	var v struct {
		Life int `json:"life_ms"`
	}
	if json.Unmarshal(body, &v) != nil || v.Life < minLeaseMS || v.Life > maxLeaseMS {
		return 400, nil
	}
	s.last++
	life := time.Duration(v.Life) * time.Millisecond
	s.leases[s.last] = &stateLease{life, s.w.now + life}
	return 200, leaseGranted{s.last}
}

// changeLease extends or ends the lease that a path names.
func (s *state) changeLease(method, path string) (int, any) {
	name, action, _ := strings.Cut(path, "/")
	id, _ := strconv.ParseUint(name, 10, 64)
	l := s.leases[id]
	switch {
	case l == nil:
		return 404, nil
	case method == "DELETE":
		l.ends = s.w.now
		s.expire()
		return 200, nil
	case action == "extend":
		l.ends = s.w.now + l.life
		return 200, nil
	}
	return 400, nil
}

// follow answers with the changes after a revision, once there are any or the
// time to wait is over.
func (s *state) follow(q url.Values, answer func(status int, v any)) {
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	if from+logKept < s.revision || from < s.oldest {
		answer(410, nil)
		return
	}
	if from < s.revision || wait == 0 {
		answer(200, s.changes(from))
		return
	}
	watch := &stateWait{from: from, answer: answer}
	s.waits = append(s.waits, watch)
	s.w.after(time.Duration(wait)*time.Millisecond, func() {
		if !watch.expired {
			watch.expired = true
			answer(200, s.changes(watch.from))
		}
	})
}

// maxPage is the largest number of keys in a page.
const maxPage = 1000

func (s *state) list(q url.Values) storedItems {
	var keys []string
	for k := range s.keys {
		if strings.HasPrefix(k, q.Get("starts")) && k > q.Get("from") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > maxPage {
		limit = maxPage
	}
	limit = min(limit, s.w.pageLimit)
	items := []storedItem{}
	for _, k := range keys[:min(limit, len(keys))] {
		items = append(items, storedItem{s.keys[k].data, k, s.keys[k].version})
	}
	return storedItems{s.revision, len(keys) > limit, items}
}

func (s *state) changes(from uint64) storedChanges {
	i := sort.Search(len(s.log), func(i int) bool { return s.log[i].Version > from })
	return storedChanges{s.revision, append([]stateChange{}, s.log[i:]...)}
}

// maxTransaction is the largest size of a transaction in bytes.
const maxTransaction = 64 << 10

// commit carries out a transaction if all its conditions hold.
func (s *state) commit(body []byte) (int, any) {
	var t transaction
	set := s.limits()
	if len(body) > maxTransaction || json.Unmarshal(body, &t) != nil || len(t.Then) > set.txnOps || len(t.If) > 4*set.txnOps {
		return s.refuseSize("a transaction", "a transaction over its limits: %d ops, %d conditions, %d bytes", len(t.Then), len(t.If), len(body))
	}
	if !s.writes.take(s.w.now, set.writeRPS, stateBurst, float64(len(t.Then))) {
		s.refused++
		return 429, nil
	}
	for _, op := range t.Then {
		if op.LeaseID != 0 && s.leases[op.LeaseID] == nil {
			return 400, failure{"no such lease"}
		}
		if float64(len(op.Data)) > set.valueKB*1024 {
			return s.refuseSize(op.Write, "a value of %s of %d bytes", op.Write, len(op.Data))
		}
	}
	failed := []string{}
	for _, c := range t.If {
		if s.keys[c.Key].version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if len(failed) > 0 {
		return 409, conflict{s.revision, failed}
	}
	if len(t.Then) > 0 {
		s.revision++
	}
	s.written += len(t.Then)
	for _, op := range t.Then {
		if op.Drop != "" {
			delete(s.keys, op.Drop)
			s.log = append(s.log, stateChange{Drop: op.Drop, Version: s.revision})
			continue
		}
		s.keys[op.Write] = stateKey{op.Data, s.revision, op.LeaseID}
		s.log = append(s.log, stateChange{Write: op.Write, Data: op.Data, Version: s.revision})
	}
	s.wake()
	return 200, committed{s.revision}
}

func (s *state) wake() {
	list := s.waits
	s.waits = nil
	for _, wt := range list {
		if wt.expired {
			continue
		}
		if s.revision > wt.from && !s.down {
			wt.expired = true
			wt.answer(200, s.changes(wt.from))
		} else {
			s.waits = append(s.waits, wt)
		}
	}
}

// expire ends leases that ran out.
func (s *state) expire() {
	if s.down {
		return
	}
	var ended []uint64
	for id, l := range s.leases {
		if s.w.now >= l.ends {
			ended = append(ended, id)
		}
	}
	sort.Slice(ended, func(a, b int) bool { return ended[a] < ended[b] })
	for _, id := range ended {
		delete(s.leases, id)
		var keys []string
		for k, v := range s.keys {
			if v.leaseID == id {
				keys = append(keys, k)
			}
		}
		sort.Strings(keys)
		for _, k := range keys {
			s.revision++
			delete(s.keys, k)
			s.log = append(s.log, stateChange{Drop: k, Version: s.revision})
		}
	}
	if len(ended) > 0 {
		s.wake()
	}
}

// outage starts or ends an outage; after it every lease has its full time.
func (s *state) outage(down bool) {
	s.expire()
	s.down = down
	if !down {
		for _, l := range s.leases {
			l.ends = s.w.now + l.life
		}
		s.wake()
	}
}
