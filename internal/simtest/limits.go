package simtest

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"
)

// limits are what the state service allows.
type limits struct {
	rps, writeRPS, valueKB float64
	txnOps                 int
}

// lowering is what a state service's limits are lowered to, and what comes of
// it.
type lowering struct {
	now      *limits // nil: as the settings have them
	tooLarge int     // 400s for size
	repeats  map[string][]time.Duration
	endless  int // writes tried too often

	lagKey string // transactions that write such a key are carried out later
	lagFor time.Duration
	lagged int
}

// limits tells what is allowed now.
func (s *state) limits() limits {
	if s.now != nil {
		return *s.now
	}
	set := &s.w.cfg.Settings.State
	return limits{set.RPS, set.WriteRPS, set.ValueKB, set.TxnOps}
}

// lower changes the limits without notice. What is stored stays.
func (s *state) lower(a Args) {
	l := s.limits()
	l.rps, l.writeRPS = a.num("rps", fmt.Sprint(l.rps)), a.num("writes", fmt.Sprint(l.writeRPS))
	l.valueKB, l.txnOps = a.num("value", fmt.Sprint(l.valueKB)), int(a.num("ops", fmt.Sprint(l.txnOps)))
	s.now = &l
}

// Many writes too large in a short time are one that is tried for ever. Only
// the first ones are named.
const (
	maxNamed      = 5
	maxRepeats    = 20
	repeatsWithin = 10 * time.Second
)

// refuseSize answers what is over the limits. It is the service's own fault
// where the limits were announced; where they were not it may try, but not for ever.
func (s *state) refuseSize(what, f string, a ...any) (int, any) {
	s.tooLarge++
	if (s.now == nil || s.w.announced) && s.tooLarge <= maxNamed {
		s.w.fault("%.2fs state service got %s", s.w.now.Seconds(), fmt.Sprintf(f, a...))
	}
	if s.repeats == nil {
		s.repeats = map[string][]time.Duration{}
	}
	list := append(s.repeats[what], s.w.now)
	if len(list) > maxRepeats {
		list = list[len(list)-maxRepeats:]
		if s.w.now-list[0] < repeatsWithin {
			s.endless++
			if s.endless == 1 {
				s.w.fault("%.2fs %s is tried again and again though it is too large", s.w.now.Seconds(), what)
			}
			list = nil
		}
	}
	s.repeats[what] = list
	return 400, nil
}

// lag takes a transaction that is to be carried out later and not answered.
func (s *state) lag(body []byte) bool {
	if s.lagged == 0 {
		return false
	}
	var t struct {
		Then []struct {
			Write string `json:"write"`
		} `json:"then"`
	}
	_ = json.Unmarshal(body, &t)
	for _, op := range t.Then {
		if strings.HasPrefix(op.Write, s.lagKey) {
			s.lagged--
			s.w.after(s.lagFor, func() { s.commit(body) })
			return true
		}
	}
	return false
}

// Announce adds to the settings the limits that the state service will have.
func Announce(settings string, a Args) string {
	next := map[string]float64{}
	for arg, name := range map[string]string{"nextrps": "rps", "nextwrites": "write_rps", "nextvalue": "value_kb", "nextops": "txn_ops"} {
		if _, ok := a[arg]; ok {
			next[name] = a.num(arg, "0")
		}
	}
	if len(next) == 0 {
		return settings
	}
	b, _ := json.Marshal(next)
	return strings.Replace(settings, `"txn_ops":12}`, `"txn_ops":12,"next":`+string(b)+`}`, 1)
}
