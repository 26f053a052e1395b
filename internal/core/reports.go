package core

import (
	"encoding/json"

	"lugward/internal/event"
	"lugward/internal/worker"
)

// waitingReport is a report that was taken in and not answered yet.
type waitingReport struct {
	from     replyTo
	report   *worker.Report
	machine  int
	since    event.Time
	idle     bool // held as an idle machine's
	answered bool
}

// reports are those that wait for their answers. With a thousand machines some
// hundred wait at any time: one is looked at again when something about its
// machine has changed, when a round is over, and when its time has come.
type reports struct {
	byMachine map[int]*waitingReport
	pending   []*waitingReport // oldest first: due after answerTimeout
	idle      []*waitingReport // oldest first: due after idleAnswerTimeout
	idleCount int              // unanswered ones in idle
	review    []int            // machines whose reports are to be looked at again
	change    bool             // a change was waiting for its round
}

// add takes a report in and returns the older one of its machine, if that
// still waited.
func (r *reports) add(w *waitingReport) (old *waitingReport) {
	if r.byMachine == nil {
		r.byMachine = map[int]*waitingReport{}
	}
	if old = r.byMachine[w.machine]; old != nil {
		r.done(old)
	}
	r.byMachine[w.machine] = w
	r.pending = append(r.pending, w)
	r.review = append(r.review, w.machine)
	return old
}

// done takes a report off; the lists drop it when it comes to their heads.
func (r *reports) done(w *waitingReport) {
	w.answered = true
	if w.idle {
		r.idleCount--
	}
	if r.byMachine[w.machine] == w {
		delete(r.byMachine, w.machine)
	}
}

// hold keeps a report as an idle machine's.
func (r *reports) hold(w *waitingReport) {
	if !w.idle {
		w.idle = true
		r.idleCount++
		r.idle = append(r.idle, w)
	}
}

// oldest returns the head of a list, having dropped what is no more in it.
func oldest(list *[]*waitingReport, in func(*waitingReport) bool) *waitingReport {
	for len(*list) > 0 {
		if w := (*list)[0]; !w.answered && in(w) {
			return w
		}
		(*list)[0] = nil
		*list = (*list)[1:]
	}
	return nil
}

func (r *reports) oldestPending() *waitingReport {
	return oldest(&r.pending, func(w *waitingReport) bool { return !w.idle })
}

func (r *reports) oldestIdle() *waitingReport {
	return oldest(&r.idle, func(*waitingReport) bool { return true })
}

// answer answers the reports whose consequences are stored: what completed
// can then be reaped, and what takes its place started, in the same response.
// A write takes milliseconds; a slow one is not waited for.
func (n *Node) answer(now event.Time, out *event.Effects) {
	r := &n.waiting
	review := append(r.review, n.jobs.TakeChangedMachines()...)
	r.review = nil
	if len(r.byMachine) == 0 {
		return
	}
	if !n.leading || !n.election.MayStart(now) {
		// No term, or only its grace: nothing is waited for.
		for _, list := range [][]*waitingReport{r.pending, r.idle} {
			for _, w := range list {
				if !w.answered {
					n.answerNow(w, now, out)
				}
			}
		}
		r.pending, r.idle = nil, nil
		return
	}
	if r.change && !n.jobs.Changed {
		for _, w := range r.pending {
			if !w.answered && !w.idle {
				review = append(review, w.machine)
			}
		}
	}
	r.change = n.jobs.Changed
	for _, h := range review {
		if w := r.byMachine[h]; w != nil {
			n.review(w, now, out)
		}
	}
	for w := r.oldestPending(); w != nil && now-w.since >= answerTimeout; w = r.oldestPending() {
		n.review(w, now, out)
	}
	most := n.cfg.Settings.Resources.MaxConnections / idleSocketDivisor
	for w := r.oldestIdle(); w != nil && (now-w.since >= idleAnswerTimeout || r.idleCount > most); w = r.oldestIdle() {
		n.answerNow(w, now, out)
	}
}

// review answers a report unless waiting may still gain something.
func (n *Node) review(w *waitingReport, now event.Time, out *event.Effects) {
	waited := now - w.since
	switch {
	case !w.idle && waited < answerTimeout && n.jobs.Changed:
	case waited < idleAnswerTimeout && n.workers.Idle(w.report):
		n.waiting.hold(w)
	case waited < answerTimeout && !n.workers.Settled(w.machine):
	default:
		n.answerNow(w, now, out)
	}
}

// answerNow answers a report, with what is to be done on its machine if we may.
func (n *Node) answerNow(w *waitingReport, now event.Time, out *event.Effects) {
	n.waiting.done(w)
	if !n.leading || !n.election.MayAnswer(now) {
		n.respond(w.from, 503, nil, out)
		return
	}
	orders := n.workers.Orders(w.report, now, n.election)
	if orders == nil {
		orders = []worker.Order{}
	}
	body, _ := json.Marshal(reportAnswer{n.election.FencingToken(), orders})
	n.respond(w.from, 200, body, out)
}

type reportAnswer struct {
	FencingToken uint64         `json:"fence"`
	Orders       []worker.Order `json:"orders"`
}
