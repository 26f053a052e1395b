package simtest

import (
	"strconv"
	"strings"
	"time"
)

// troubles are those of the network and of users that last for a while, each
// as the share of what it befalls.
type troubles struct {
	lateWrites      float64       // transactions that get no answer and are carried out late
	heldReports     float64       // reports that arrive seconds late, maybe elsewhere
	heldCommands    float64       // direct commands that arrive, or whose answers arrive, seconds late
	slowState       time.Duration // within which the state service answers
	cancelEnds      float64       // jobs that end that are cancelled at that moment
	invalidRequests bool          // users ask odd things
	invalidIDs      int
	troubleTo       time.Duration // when the last trouble that was brought ends
}

const (
	minDelay = 2 * time.Second
	maxDelay = 12 * time.Second
)

func (w *World) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.rng.Int64N(int64(most-least)))
}

func (w *World) befalls(share float64) bool { return share > 0 && w.rng.Float64() < share }

// trouble carries out the commands of a scenario that bring troubles, and those
// that show what came of them.
func (w *World) trouble(cmd string, a Args) string {
	switch cmd {
	case "late_writes":
		w.lateWrites = a.num("share", "0")
	case "delay_reports":
		w.heldReports = a.num("share", "0")
	case "delay_commands":
		w.heldCommands = a.num("share", "0")
	case "cancel_at_end":
		w.cancelEnds = a.num("share", "0")
	case "cancel_soon":
		w.cancelSoon(a["id"])
	case "cancel_now":
		return strconv.Itoa(len(w.cancelNow(int(a.num("count", "1")), a.dur("hang", "0s"))))
	case "invalid_requests":
		w.invalidRequests = true
		w.sendInvalidRequests()
		w.after(a.dur("for", "10s"), func() { w.invalidRequests = false })
	case "churn":
		w.churn(int(a.num("times", "10")), a.dur("over", "120s"), a["how"])
	case "block_reports":
		for _, k := range w.Workers() {
			if z, ok := a["zone"]; k.up && (!ok || z == k.zone) {
				w.blockReportsFor(k, a.dur("for", "5s"))
			}
		}
	case "block_inbound":
		for _, k := range w.Workers() {
			if z, ok := a["zone"]; k.up && (!ok || z == k.zone) {
				w.BlockInbound(k, true)
				w.after(a.dur("for", "5s"), func() { w.BlockInbound(k, false) })
			}
		}
	case "block_watch", "unblock_watch":
		for _, n := range w.pick(a["node"]) {
			n.watchBlocked = cmd == "block_watch"
		}
	case "slow_state":
		w.slowState = a.dur("within", "0s")
	case "cut_zone":
		w.cutZone(w.pick(a["node"])[0], a["zone"], a.dur("for", "20s"))
	case "ask":
		// From here on users ask that controller.
		w.users = w.pick(a["node"])[0]
	case "running_tasks":
		// How many tasks of a job are on machines.
		n := 0
		for _, t := range w.check.onMachines() {
			if t.job.id == a["id"] {
				n++
			}
		}
		return strconv.Itoa(n)
	case "acknowledged":
		return w.check.acknowledged[a["id"]]
	case "after":
		// Starts after a confirmed cancellation.
		return strconv.Itoa(w.check.after)
	case "leads":
		if l := w.Leader(); l != nil {
			return l.name
		}
		return "nobody"
	default:
		return "unknown command " + strings.TrimSpace(cmd)
	}
	return "ok"
}
