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

// budget is a rate with one second's burst.
type budget struct {
	used float64
	at   time.Duration
}

func (b *budget) take(now time.Duration, rate, n float64) bool {
	b.used = max(0, b.used-rate*(now-b.at).Seconds())
	b.at = now
	if b.used+n > rate {
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

type object map[string]any

// serve answers a request, at once or (for a watch) later.
func (s *state) serve(method, target string, body []byte, answer func(status int, v any)) {
	if s.down {
		answer(503, object{"error": "trouble"})
		return
	}
	s.expire()
	if !s.requests.take(s.w.now, s.limits().rps, 1) {
		s.refused++
		answer(429, nil)
		return
	}
	u, err := url.Parse(target)
	if err != nil {
		answer(400, nil)
		return
	}
	q := u.Query()
	switch {
	case u.Path == "/keys" && method == "GET":
		answer(200, s.list(q))
	case u.Path == "/commit" && method == "POST":
		if s.lag(body) {
			return
		}
		answer(s.commit(body))
	case u.Path == "/leases" && method == "POST":
		var v struct {
			Life int `json:"life_ms"`
		}
		if json.Unmarshal(body, &v) != nil || v.Life < 100 || v.Life > 600_000 {
			answer(400, nil)
			return
		}
		s.last++
		life := time.Duration(v.Life) * time.Millisecond
		s.leases[s.last] = &stateLease{life, s.w.now + life}
		answer(200, object{"tether": s.last})
	case strings.HasPrefix(u.Path, "/leases/"):
		id, tail, _ := strings.Cut(strings.TrimPrefix(u.Path, "/leases/"), "/")
		n, _ := strconv.ParseUint(id, 10, 64)
		l := s.leases[n]
		switch {
		case l == nil:
			answer(404, nil)
		case method == "DELETE":
			l.ends = s.w.now
			s.expire()
			answer(200, nil)
		case tail == "extend":
			l.ends = s.w.now + l.life
			answer(200, nil)
		default:
			answer(400, nil)
		}
	case u.Path == "/follow":
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
		wt := &stateWait{from: from, answer: answer}
		s.waits = append(s.waits, wt)
		s.w.after(time.Duration(wait)*time.Millisecond, func() {
			if !wt.expired {
				wt.expired = true
				answer(200, s.changes(wt.from))
			}
		})
	default:
		answer(404, nil)
	}
}

func (s *state) list(q url.Values) object {
	var keys []string
	for k := range s.keys {
		if strings.HasPrefix(k, q.Get("starts")) && k > q.Get("from") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 1000 {
		limit = 1000
	}
	limit = min(limit, s.w.pageLimit)
	items := []object{}
	for _, k := range keys[:min(limit, len(keys))] {
		items = append(items, object{"key": k, "data": s.keys[k].data, "stamp": s.keys[k].version})
	}
	return object{"items": items, "has_next": len(keys) > limit, "epoch": s.revision}
}

func (s *state) changes(from uint64) object {
	i := sort.Search(len(s.log), func(i int) bool { return s.log[i].Version > from })
	return object{"epoch": s.revision, "log": append([]stateChange{}, s.log[i:]...)}
}

func (s *state) commit(body []byte) (int, any) {
	var t struct {
		If []struct {
			Key     string `json:"key"`
			Version uint64 `json:"stamp"`
		} `json:"if"`
		Then []struct {
			Write   string          `json:"write"`
			Drop    string          `json:"drop"`
			Data    json.RawMessage `json:"data"`
			LeaseID uint64          `json:"tether"`
		} `json:"then"`
	}
	set := s.limits()
	if len(body) > 64<<10 || json.Unmarshal(body, &t) != nil || len(t.Then) > set.txnOps || len(t.If) > 4*set.txnOps {
		return s.refuseSize("a transaction", "a transaction over its limits: %d ops, %d conditions, %d bytes", len(t.Then), len(t.If), len(body))
	}
	if !s.writes.take(s.w.now, set.writeRPS, float64(len(t.Then))) {
		s.refused++
		return 429, nil
	}
	for _, op := range t.Then {
		if op.LeaseID != 0 && s.leases[op.LeaseID] == nil {
			return 400, object{"error": "no such lease"}
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
		return 409, object{"failed": failed, "epoch": s.revision}
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
	return 200, object{"epoch": s.revision}
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
