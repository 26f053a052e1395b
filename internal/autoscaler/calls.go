package autoscaler

import (
	"math"

	"lugward/internal/event"
)

func (r *Autoscaler) allowed(now event.Time) bool {
	if now < r.pauseTo {
		return false
	}
	r.tokens = math.Min(2*r.cfg.RPS, r.tokens+r.cfg.RPS*0.9*(now-r.tokensAt).Seconds())
	r.tokensAt = now
	return r.tokens >= 1
}

func (r *Autoscaler) call(method, path string, body []byte, out *event.Effects, f func(now event.Time, status int, body []byte, out *event.Effects)) {
	r.tokens--
	r.calls[out.Call(r.cfg.Addr, method, path, body, callTimeout)] = func(now event.Time, status int, body []byte, out *event.Effects) {
		if status == 429 || (status == 503 && method == "GET") {
			r.pauseTo = now + errorPause
		}
		f(now, status, body, out)
	}
}

// CallDone takes the outcome of a call; it tells whether it was ours.
func (r *Autoscaler) CallDone(now event.Time, d event.CallDone, out *event.Effects) bool {
	f, ok := r.calls[d.ID]
	if !ok {
		return false
	}
	delete(r.calls, d.ID)
	f(now, d.Status, d.Body, out)
	return true
}

type pendingRetry struct {
	at event.Time
	do func(out *event.Effects)
}

func (r *Autoscaler) sendRetries(now event.Time, out *event.Effects) {
	list := r.retries
	r.retries = nil
	for _, a := range list {
		if now >= a.at && r.allowed(now) {
			a.do(out)
		} else {
			r.retries = append(r.retries, a)
		}
	}
}
