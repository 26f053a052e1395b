package simtest

import (
	"encoding/json"
	"fmt"
	"maps"
	"sort"
	"strconv"
	"strings"
	"time"

	"lugward/internal/core"
)

const watchEvery = 500 * time.Millisecond

// watchRules checks what must hold at any time.
func (w *World) watchRules() {
	w.check.moment()
	w.after(watchEvery, w.watchRules)
}

// Verdict is "kept" or what was broken.
func (w *World) Verdict() string {
	all := append(append([]string(nil), w.check.Broken...), w.faults...)
	if len(all) == 0 {
		return "kept"
	}
	return strings.Join(all, "\n")
}

// accepted lists the jobs whose users got an answer and did not cancel.
func (w *World) accepted() []string {
	var ids []string
	for id := range w.check.acknowledged {
		if !w.check.cancelRequested(id) {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

func (w *World) pick(name string) []*node {
	switch name {
	case "all":
		return w.nodes
	case "leader":
		if l := w.Leader(); l != nil {
			return []*node{l}
		}
		return nil
	}
	i, err := strconv.Atoi(strings.TrimPrefix(name, "n"))
	if err != nil || i >= len(w.nodes) {
		panic("no node " + name)
	}
	return []*node{w.nodes[i]}
}

// machineOf finds the machine that a task is on.
func (w *World) machineOf(task string) *worker {
	for _, t := range w.check.onMachines() {
		if t.name == task {
			return t.on
		}
	}
	return nil
}

// workDone checks how much work the controllers did, all together: of the
// bytes of reports they may decode so many hundredths, in a round count the
// machine capacities of so many machines anew, and make so many writes in all.
func (w *World) workDone(a Args) string {
	var sum core.Work
	for _, n := range w.nodes {
		one := n.core.Work()
		sum.Reports += one.Reports
		sum.Decoded += one.Decoded
		sum.Unchanged += one.Unchanged
		sum.Rounds += one.Rounds
		sum.CapacitiesRecounted += one.CapacitiesRecounted
	}
	if float64(sum.Decoded) <= a.num("decoded", "0")/100*float64(sum.Decoded+sum.Unchanged) && float64(sum.CapacitiesRecounted) <= a.num("counted", "0")*float64(sum.Rounds) &&
		w.state.written <= int(a.num("writes", "0")) {
		return "within"
	}
	return fmt.Sprintf("%+v, %d writes", sum, w.state.written)
}

// Do carries out one command of a scenario and returns its output.
func (w *World) Do(cmd string, a Args, input string) string {
	switch cmd {
	case "machine":
		for range int(a.num("count", "1")) {
			w.cloud.add(a.or("type", "small"), a.or("zone", "a"), a.flag("spot"), 0)
		}
	case "capacity":
		for _, spot := range []bool{false, true} {
			for _, z := range []string{"a", "b"} {
				w.cloud.available[capacityKey(a["type"], z, spot)] = int(a.num("count", "0"))
			}
		}
	case "never":
		w.cloud.never = int(a.num("count", "1"))
	case "submit":
		status, phase := w.Submit(a)
		return fmt.Sprintf("%d %s", status, phase)
	case "burst":
		// Many jobs alike, their ids counted up.
		if a.flag("once") {
			return w.crowd(a)
		}
		accepted := 0
		for i := range int(a.num("count", "1")) {
			one := maps.Clone(a)
			one["id"] = fmt.Sprintf("req-%06d", int(a.num("from", "1"))+i)
			if status, _ := w.Submit(one); status == 200 || status == 201 {
				accepted++
			}
		}
		return fmt.Sprintf("%d accepted", accepted)
	case "all":
		// Polls every accepted job until all are done.
		done := 0
		for end := w.now + a.dur("within", "60s"); w.now < end; w.Run(time.Second) {
			done = 0
			for _, id := range w.accepted() {
				if w.check.acknowledged[id] != "done" {
					w.Poll(id)
				}
				if w.check.acknowledged[id] == "done" {
					done++
				}
			}
			if done == len(w.accepted()) {
				break
			}
		}
		return fmt.Sprintf("%d done", done)
	case "poll":
		status, phase := w.Poll(a["id"])
		return fmt.Sprintf("%d %s", status, phase)
	case "cancel":
		status, phase := w.Cancel(a["id"])
		return fmt.Sprintf("%d %s", status, phase)
	case "raw":
		status, _ := w.ask(w.nodes[0], a.or("method", "POST"), a["path"], []byte(input))
		return strconv.Itoa(status)
	case "write":
		// A record as another version or a pipeline's author would store it.
		w.state.revision++
		w.state.keys[a["key"]] = stateKey{data: json.RawMessage(strings.TrimSpace(input)), version: w.state.revision}
		w.state.log = append(w.state.log, stateChange{Write: a["key"], Data: w.state.keys[a["key"]].data, Version: w.state.revision})
		w.state.wake()
	case "job":
		w.Body(a)
		w.jobs[a["id"]].submitted = true
	case "run":
		w.Run(a.dur("for", "1s"))
	case "until":
		end := w.now + a.dur("within", "60s")
		phase := ""
		for w.now < end {
			if _, phase = w.Poll(a["id"]); phase == a["phase"] {
				return phase
			}
			w.Run(500 * time.Millisecond)
		}
		return "still " + phase
	case "kill":
		for _, n := range w.pick(a["node"]) {
			n.kill()
		}
	case "boot":
		for _, n := range w.pick(a["node"]) {
			if !n.up {
				n.boot()
			}
		}
	case "deny", "allow":
		for _, n := range w.pick(a["node"]) {
			n.denied = cmd == "deny"
		}
	case "truncate_log":
		// As many changes come as the state service keeps.
		w.state.oldest = w.state.revision
	case "pause":
		for _, n := range w.pick(a["node"]) {
			n.pause(a.dur("for", "2s"), a.flag("mid_step"))
		}
	case "cut", "heal":
		on := cmd == "cut"
		for _, n := range w.pick(a["node"]) {
			if a["from"] == "workers" {
				for _, k := range w.Workers() {
					if z, ok := a["zone"]; !ok || z == k.zone {
						w.Cut(n.name, k.name, on)
					}
				}
				continue
			}
			w.Cut(n.name, a["from"], on)
		}
	case "outage":
		w.state.outage(!a.flag("over"))
	case "cloud":
		w.cloud.down = !a.flag("over")
	case "block_inbound_of":
		k := w.machineOf(a["task"])
		if k == nil {
			return "not on a machine"
		}
		w.BlockInbound(k, true)
		if a.flag("for") {
			w.after(a.dur("for", "5s"), func() { w.BlockInbound(k, false) })
		}
	case "unreachable_next":
		// The machine that comes up next never hears anybody.
		w.unreachableNext += int(a.num("count", "1"))
	case "copies":
		w.copies, w.copyLate = a.num("share", "0"), a.dur("within", "30s")
	case "isolate", "join":
		for _, n := range w.pick(a["node"]) {
			w.isolate(n, cmd == "isolate")
		}
	case "users":
		// From here on users ask a controller that does not lead, or any.
		if a.flag("any") {
			w.users = nil
			break
		}
		for _, n := range w.nodes {
			if n != w.Leader() {
				w.users = n
			}
		}
	case "served":
		return w.check.served()
	case "work":
		return w.workDone(a)
	case "settle":
		w.check.calmAt = w.now
	case "refused":
		return strconv.Itoa(w.state.refused)
	case "network":
		w.loss, w.late = a.num("loss", "0"), a.num("late", "0")
	case "pages":
		w.pageLimit = int(a.num("limit", "1000"))
	case "die", "hang", "reclaim", "terminate", "slow":
		if z, ok := a["zone"]; ok {
			// All that the zone holds, as when a rack fails.
			for _, k := range w.Workers() {
				if k.zone == z && k.up && cmd == "die" {
					k.die()
				} else if k.zone == z && cmd == "hang" {
					k.hang(a.dur("for", "5s"))
				}
			}
			break
		}
		k := w.machineOf(a["task"])
		if k == nil {
			return "not on a machine"
		}
		switch cmd {
		case "die":
			k.die()
		case "slow":
			k.slow = a.num("times", "4")
		case "terminate":
			w.cloud.remove(k.name)
		case "hang":
			k.hang(a.dur("for", "5s"))
		case "reclaim":
			k.reclaimAt, k.changed = w.now+a.dur("in", "8s"), true
			w.after(a.dur("in", "8s"), func() { w.cloud.remove(k.name) })
		}
	case "zones":
		count := map[string]int{}
		for _, t := range w.check.onMachines() {
			if t.job.id == a["id"] {
				count[t.on.zone]++
			}
		}
		if a.flag("either") {
			return fmt.Sprintf("%d+%d", max(count["a"], count["b"]), min(count["a"], count["b"]))
		}
		return fmt.Sprintf("a=%d b=%d", count["a"], count["b"])
	case "machines":
		types := map[string]int{}
		for _, h := range w.cloud.machines {
			types[h.machineType]++
		}
		var names []string
		for n := range types {
			names = append(names, fmt.Sprintf("%s=%d", n, types[n]))
		}
		sort.Strings(names)
		return strings.Join(names, " ")
	case "keys":
		return strings.Join(w.Keys(a["prefix"]), "\n")
	case "job_machines":
		names := map[string]bool{}
		for _, t := range w.check.onMachines() {
			if t.job.id == a["id"] {
				names[t.on.name] = true
			}
		}
		return fmt.Sprintf("%d of them slow: %d", len(names), func() (n int) {
			for _, k := range w.workers {
				if names[k.name] && k.slow > 0 {
					n++
				}
			}
			return
		}())
	case "starts":
		return strconv.Itoa(w.check.starts)
	case "rules":
		return w.Verdict()
	default:
		return w.doChain(cmd, a, input)
	}
	return "ok"
}
