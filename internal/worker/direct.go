package worker

import (
	"encoding/json"

	"lugward/internal/event"
)

// AnnounceToken tells a machine our fencing token by a command without orders. A leader that
// lost the state service and the other controllers, but not its workers, may
// answer them for its whole grace; told a higher fencing token, they tell it at once,
// and report to us. The proof of silence does not rest on it.
func (f *Registry) AnnounceToken(h *Machine, now event.Time, term Term, out *event.Effects) {
	if h.Addr == "" || (h.lastAnnouncement != 0 && now-h.lastAnnouncement < announceInterval) {
		return
	}
	h.lastAnnouncement = now
	f.announceToken(h, max(h.Session, 1), term, out, h)
}

func (f *Registry) announceToken(h *Machine, session uint64, term Term, out *event.Effects, learn *Machine) {
	body, _ := json.Marshal(directCommand{term.FencingToken(), session, []Order{}})
	f.calls[out.Call(h.Addr, "POST", "/do", body, directTimeout)] = learn
}

type directCommand struct {
	FencingToken uint64  `json:"fence"`
	Session      uint64  `json:"tenure"`
	Orders       []Order `json:"orders"`
}

// CallDone takes the outcome of a direct command: the worker's next report
// tells what became of it. Only its session is taken from an answer that says
// that we had it wrong.
func (f *Registry) CallDone(d event.CallDone, term Term, out *event.Effects) bool {
	h, ok := f.calls[d.ID]
	if !ok {
		return false
	}
	delete(f.calls, d.ID)
	if h != nil && d.Status == 409 {
		if r, err := parseReport(d.Body); err == nil && r.FencingToken < term.FencingToken() {
			f.announceToken(h, r.Session, term, out, nil)
		}
	}
	return true
}
