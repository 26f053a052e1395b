package simtest

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// tally counts the last phase told of so many jobs from an id on, polling those
// that are not over until they are or the time has run out.
func (w *World) tally(a Args) string {
	first, n := int(a.num("from", "1")), int(a.num("count", "1"))
	end := w.now + a.dur("within", "0s")
	for {
		count := map[string]int{}
		open := 0
		for i := range n {
			id := fmt.Sprintf("req-%06d", first+i)
			if acknowledged := w.check.acknowledged[id]; acknowledged != "done" && acknowledged != "cancelled" {
				w.Poll(id)
			}
			acknowledged := w.check.acknowledged[id]
			if acknowledged != "done" && acknowledged != "cancelled" {
				open++
			}
			count[acknowledged]++
		}
		if open == 0 || w.now >= end {
			var parts []string
			for _, k := range slices.Sorted(maps.Keys(count)) {
				parts = append(parts, fmt.Sprintf("%s=%d", k, count[k]))
			}
			return strings.Join(parts, " ")
		}
		w.Run(time.Second)
	}
}

// meetings lets so many pairs meet, each a little later against the other: a
// job is cancelled and, from before to after it, one that needs it is
// submitted ("submit"), or a job is cancelled about when its last task ends,
// while another waits for it ("done"). It tells whether each pair ended alike.
func (w *World) meetings(a Args) string {
	first, n, step := int(a.num("from", "1")), int(a.num("count", "20")), a.dur("step", "10ms")
	id := func(i int) string { return fmt.Sprintf("req-%06d", i) }
	for i := range n {
		up, down := maps.Clone(a), maps.Clone(a)
		up["id"], down["id"], down["awaits"] = id(first+2*i), id(first+2*i+1), id(first+2*i)
		w.Submit(up)
		early := step * time.Duration(i-n/2)
		switch a.or("with", "submit") {
		case "submit":
			w.after(max(0, -early), func() { w.cancelOn(up["id"]) })
			w.after(max(0, early), func() { w.submitOn(down) })
		case "done":
			w.Submit(down)
			u := w.jobs[up["id"]]
			var watch func()
			watch = func() {
				if u.began == 0 {
					w.after(tickEvery, watch)
					return
				}
				w.after(max(0, u.began+u.run-w.now+early), func() { w.cancelOn(up["id"]) })
			}
			watch()
		default:
			panic("meet what? " + a["with"])
		}
	}
	w.Run(step*time.Duration(n) + time.Second)
	if !w.settled(2 * userRetry) {
		return "not all are answered"
	}
	ends := map[string]int{}
	for end := w.now + a.dur("within", "120s"); ; w.Run(time.Second) {
		clear(ends)
		for i := range 2 * n {
			if acknowledged := w.check.acknowledged[id(first+i)]; acknowledged != "done" && acknowledged != "cancelled" {
				w.Poll(id(first + i))
			}
		}
		for i := range n {
			ends[w.check.acknowledged[id(first+2*i)]+"/"+w.check.acknowledged[id(first+2*i+1)]]++
		}
		if ends["done/done"]+ends["cancelled/cancelled"] == n {
			if a.flag("both") && (ends["done/done"] == 0 || ends["cancelled/cancelled"] == 0) {
				return fmt.Sprintf("alike, but all one way: %v", ends)
			}
			return "alike"
		}
		if w.now >= end {
			return fmt.Sprint(ends)
		}
	}
}

// old adds jobs that were over long ago, as the state service keeps them.
func (w *World) old(a Args) {
	for i := range int(a.num("count", "1")) {
		id := fmt.Sprintf("req-%06d", int(a.num("from", "1"))+i)
		w.Body(Args{"id": id})
		j := w.jobs[id]
		j.submitted = true
		phase := a.or("phase", "done")
		if phase == "done" {
			j.complete[0] = true
		} else {
			w.check.asked[id] = true
		}
		w.check.acknowledged[id] = phase
		w.store("f/"+id, fmt.Sprintf(`{"p":%q,"n":1}`, phase))
	}
	w.state.wake()
}

// store puts a record as it is.
func (w *World) store(key, data string) {
	w.state.revision++
	w.state.keys[key] = stateKey{data: json.RawMessage(data), version: w.state.revision}
	w.state.log = append(w.state.log, stateChange{Write: key, Data: json.RawMessage(data), Version: w.state.revision})
}

// doChain carries out the commands that belong to chains and to a change of
// version and limits.
func (w *World) doChain(cmd string, a Args, input string) string {
	switch cmd {
	case "send":
		// One request, its awaits as the input has them.
		var o object
		_ = json.Unmarshal(w.Body(a), &o)
		o["awaits"] = json.RawMessage(strings.TrimSpace(input))
		b, _ := json.Marshal(o)
		n := w.entryNode()
		if name, ok := a["node"]; ok {
			n = w.pick(name)[0]
		}
		asked := w.now
		status, v := w.ask(n, "POST", "/submissions", b)
		phase, _ := v["phase"].(string)
		if status == 200 || status == 201 {
			w.jobs[a["id"]].submitted = true
		}
		w.check.answered(asked, a["id"], status, phase)
		return strings.TrimSpace(fmt.Sprintf("%d %s", status, phase))
	case "begin":
		// A request that nobody waits for.
		switch {
		case a.flag("cancel"):
			w.cancelOn(a["id"])
		case a.flag("once"):
			// Its user gives up.
			body := w.Body(a)
			w.jobs[a["id"]].submitted = true
			w.request("user", w.entryNode(), "POST", "/submissions", body, 5*time.Second, func(int, []byte) {})
		default:
			w.submitOn(a)
		}
	case "answer":
		// What came of it.
		w.settled(a.dur("within", "70s"))
		got := w.answers[a["of"]+" "+a["id"]]
		if status, _, _ := strings.Cut(got, " "); a.flag("accepted") && (status == "200" || status == "201") {
			return "accepted"
		}
		return got
	case "accept":
		// A submission that is accepted at the first attempt or at a later one.
		if status, phase := w.Submit(a); status != 200 && status != 201 {
			return fmt.Sprintf("%d %s", status, phase)
		}
		return "accepted"
	case "line":
		// Jobs that each need the one before.
		for i := range int(a.num("count", "2")) {
			one := maps.Clone(a)
			n := int(a.num("from", "1")) + i
			if one["id"] = fmt.Sprintf("req-%06d", n); i > 0 {
				one["awaits"] = fmt.Sprintf("req-%06d", n-1)
			}
			if status, phase := w.Submit(one); status != 200 && status != 201 {
				return fmt.Sprintf("%d %s", status, phase)
			}
		}
		return "accepted"
	case "race":
		return w.meetings(a)
	case "tally":
		return w.tally(a)
	case "finished_jobs":
		w.old(a)
	case "via":
		// From here on users ask this controller.
		w.users = w.pick(a["node"])[0]
	case "owner":
		// Which controller a job belongs to.
		var r struct {
			Owner string `json:"o"`
		}
		_ = json.Unmarshal(w.state.keys["j/"+a["id"]].data, &r)
		return r.Owner
	case "order":
		// Which of two jobs began first.
		first, second := w.jobs[a["id"]], w.jobs[a["before"]]
		switch {
		case first.began == 0 || second.began == 0:
			return "not both have begun"
		case first.began < second.began:
			return "before"
		}
		return "not before"
	case "limits":
		w.state.lower(a)
	case "lag":
		// The next transactions that write such a key get no answer and are
		// carried out later.
		w.state.lagKey, w.state.lagFor, w.state.lagged = a["key"], a.dur("for", "8s"), int(a.num("count", "1"))
	case "oversized_writes":
		return strconv.Itoa(w.state.tooLarge)
	case "load":
		if err := w.Load(a["file"]); err != nil {
			return err.Error()
		}
	default:
		return w.doFailures(cmd, a)
	}
	return "ok"
}
