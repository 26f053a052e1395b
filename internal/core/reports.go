package core

import (
	"encoding/json"

	"lugward/internal/event"
	"lugward/internal/worker"
)

// waitingReport is a report that was taken in and not answered yet.
type waitingReport struct {
	from     caller
	report   *worker.Report
	host     int
	since    event.Time
	idle     bool // held as an idle machine's
	answered bool
}

// reports are those that wait for their answers. With a thousand machines some
// hundred wait at any time: one is looked at again when something about its
// machine has changed, when a round is over, and when its time has come.
type reports struct {
	byHost map[int]*waitingReport
	soon   []*waitingReport // oldest first: due after answerWait
	idle   []*waitingReport // oldest first: due after idleWait
	idlers int              // unanswered ones in idle
	review []int            // machines whose reports are to be looked at again
	change bool             // a change was waiting for its round
}

// add takes a report in and returns the older one of its machine, if that
// still waited.
func (r *reports) add(w *waitingReport) (old *waitingReport) {
	if r.byHost == nil {
		r.byHost = map[int]*waitingReport{}
	}
	if old = r.byHost[w.host]; old != nil {
		r.done(old)
	}
	r.byHost[w.host] = w
	r.soon = append(r.soon, w)
	r.review = append(r.review, w.host)
	return old
}

// done takes a report off; the lists drop it when it comes to their heads.
func (r *reports) done(w *waitingReport) {
	w.answered = true
	if w.idle {
		r.idlers--
	}
	if r.byHost[w.host] == w {
		delete(r.byHost, w.host)
	}
}

// hold keeps a report as an idle machine's.
func (r *reports) hold(w *waitingReport) {
	if !w.idle {
		w.idle = true
		r.idlers++
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

func (r *reports) oldestSoon() *waitingReport {
	return oldest(&r.soon, func(w *waitingReport) bool { return !w.idle })
}

func (r *reports) oldestIdle() *waitingReport {
	return oldest(&r.idle, func(*waitingReport) bool { return true })
}

// answer answers the reports whose consequences are stored: what completed
// can then be reaped, and what takes its place started, in the same response.
// A write takes milliseconds; a slow one is not waited for.
func (n *Node) answer(now event.Time, out *event.Effects) {
	r := &n.waiting
	review := append(r.review, n.jobs.TakeTouched()...)
	r.review = nil
	if len(r.byHost) == 0 {
		return
	}
	if !n.leading || !n.election.Entitled(now) {
		// No term, or only its grace: nothing is waited for.
		for _, list := range [][]*waitingReport{r.soon, r.idle} {
			for _, w := range list {
				if !w.answered {
					n.answerNow(w, now, out)
				}
			}
		}
		r.soon, r.idle = nil, nil
		return
	}
	if r.change && !n.jobs.Changed {
		for _, w := range r.soon {
			if !w.answered && !w.idle {
				review = append(review, w.host)
			}
		}
	}
	r.change = n.jobs.Changed
	for _, h := range review {
		if w := r.byHost[h]; w != nil {
			n.review(w, now, out)
		}
	}
	for w := r.oldestSoon(); w != nil && now-w.since >= answerWait; w = r.oldestSoon() {
		n.review(w, now, out)
	}
	most := n.cfg.Settings.Resources.MaxConnections / idleSockets
	for w := r.oldestIdle(); w != nil && (now-w.since >= idleWait || r.idlers > most); w = r.oldestIdle() {
		n.answerNow(w, now, out)
	}
}

// review answers a report unless waiting may still gain something.
func (n *Node) review(w *waitingReport, now event.Time, out *event.Effects) {
	waited := now - w.since
	switch {
	case !w.idle && waited < answerWait && n.jobs.Changed:
	case waited < idleWait && n.workers.Idle(w.report):
		n.waiting.hold(w)
	case waited < answerWait && !n.workers.Settled(w.host):
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
	body, _ := json.Marshal(helloAnswer{n.election.Fence(), orders})
	n.respond(w.from, 200, body, out)
}

type helloAnswer struct {
	Fence  uint64         `json:"fence"`
	Orders []worker.Order `json:"orders"`
}
