package api

import (
	"encoding/json"
	"fmt"
	"net/url"
	"testing"

	"lugward/internal/event"
)

const (
	valueBytes = 2048
	txnOps     = 4
)

// service is a stand-in for the state service that enforces its limits.
type service struct {
	t        *testing.T
	keys     map[string]stored
	log      []logged
	revision uint64
	down     bool
	// loseAnswer reports whether the answer to a transaction gets lost, delay
	// whether the transaction is executed only when executeDelayed is called.
	loseAnswer, delay func(body string) bool
	delayed           []string
	commits           []string
}

// stored is the present value of a key.
type stored struct {
	data    json.RawMessage
	version uint64
}

// logged is one change of a key; data is nil when the key was dropped.
type logged struct {
	key     string
	data    json.RawMessage
	version uint64
}

// transaction is the body of a commit.
type transaction struct {
	If []struct {
		Key     string `json:"key"`
		Version uint64 `json:"stamp"`
	} `json:"if"`
	Then []struct {
		Write string          `json:"write"`
		Drop  string          `json:"drop"`
		Data  json.RawMessage `json:"data"`
	} `json:"then"`
}

func newService(t *testing.T) *service { return &service{t: t, keys: map[string]stored{}} }

// put stores a key as some other controller would.
func (s *service) put(key string, data []byte) uint64 {
	s.revision++
	s.set(key, data)
	return s.revision
}

func (s *service) set(key string, data []byte) {
	if data == nil {
		delete(s.keys, key)
	} else {
		s.keys[key] = stored{data, s.revision}
	}
	s.log = append(s.log, logged{key, data, s.revision})
}

func (s *service) commit(body string) (int, string) {
	var x transaction
	if err := json.Unmarshal([]byte(body), &x); err != nil {
		s.t.Fatal(err)
	}
	excessive := len(x.Then) > txnOps || len(x.If) > 4*txnOps || len(body) > 64<<10
	for _, w := range x.Then {
		excessive = excessive || len(w.Data) > valueBytes
	}
	if excessive {
		s.t.Errorf("a transaction beyond the limits: %d changes, %d conditions, %d bytes", len(x.Then), len(x.If), len(body))
		return 400, "{}"
	}
	var failed []string
	for _, c := range x.If {
		if s.keys[c.Key].version != c.Version {
			failed = append(failed, c.Key)
		}
	}
	if failed != nil {
		b, _ := json.Marshal(map[string]any{"failed": failed, "epoch": s.revision})
		return 409, string(b)
	}
	s.revision++
	for _, w := range x.Then {
		if w.Drop != "" {
			s.set(w.Drop, nil)
		} else {
			s.set(w.Write, w.Data)
		}
	}
	return 200, fmt.Sprintf(`{"epoch":%d}`, s.revision)
}

// executeDelayed executes the delayed transactions.
func (s *service) executeDelayed() {
	for _, body := range s.delayed {
		s.commit(body)
	}
	s.delayed = nil
}

// serve answers a call; ok is false for a watch, which stays open.
func (s *service) serve(c event.Call) (status int, body string, ok bool) {
	u, err := url.Parse(c.Path)
	if err != nil {
		s.t.Fatal(err)
	}
	switch {
	case u.Path == "/follow" && u.Query().Get("wait_ms") != "0":
		return 0, "", false
	case s.down:
		return 503, "", true
	case u.Path == "/keys":
		return 200, fmt.Sprintf(`{"items":[],"has_next":false,"epoch":%d}`, 0), true
	case u.Path == "/follow":
		var from uint64
		fmt.Sscan(u.Query().Get("from"), &from)
		list := []map[string]any{}
		for _, l := range s.log {
			switch {
			case l.version <= from:
			case l.data == nil:
				list = append(list, map[string]any{"drop": l.key, "stamp": l.version})
			default:
				list = append(list, map[string]any{"write": l.key, "data": l.data, "stamp": l.version})
			}
		}
		b, _ := json.Marshal(map[string]any{"epoch": s.revision, "log": list})
		return 200, string(b), true
	}
	s.commits = append(s.commits, string(c.Body))
	if s.delay != nil && s.delay(string(c.Body)) {
		s.delayed = append(s.delayed, string(c.Body))
		return 0, "", true
	}
	status, body = s.commit(string(c.Body))
	if s.loseAnswer != nil && s.loseAnswer(string(c.Body)) {
		return 0, "", true
	}
	return status, body, true
}

// parts returns the stored parts of a job's list of upstream jobs.
func (s *service) parts(id int) (list []string) {
	for n := 0; ; n++ {
		k, ok := s.keys[fmt.Sprintf("u/req-%d/%d", id, n)]
		if !ok {
			return list
		}
		list = append(list, string(k.data))
	}
}
