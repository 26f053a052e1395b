package api

import (
	"lugward/internal/event"
	"lugward/internal/pipeline"
	"lugward/internal/store"
)

func (in *Server) cancel(now event.Time, conn uint64, id string, attempts int, out *event.Effects) {
	if b := in.over(id); b != nil {
		out.Reply(conn, 200, b)
		return
	}
	if in.unavailable(now) || attempts >= maxCancelRetries {
		out.Busy(conn, retryAfter)
		return
	}
	j := in.jobs.Job(id)
	if j == nil || j.Version == 0 {
		in.store.Barrier(func(now event.Time, ok bool, out *event.Effects) {
			switch {
			case !ok:
				out.Busy(conn, retryAfter)
			case in.state(id) == nil:
				out.Reply(conn, 404, nil)
			default:
				in.cancel(now, conn, id, attempts+1, out)
			}
		})
		return
	}
	in.store.Submit(&store.Intent{Priority: store.Cancel,
		Conditions: []store.Condition{{Key: pipeline.JobKeyOf(id), Version: j.Version}, {Key: pipeline.FinalKeyOf(id)}},
		Writes:     []store.Write{{Key: pipeline.FinalKeyOf(id), Data: pipeline.EncodeFinal(pipeline.Cancelled, j)}},
		Done: func(r store.Result) {
			switch r.Outcome {
			case store.OK:
				in.cancel(r.Now, conn, id, attempts, r.Out) // answers from the mark
			case store.Refused:
				r.Out.Busy(conn, retryAfter)
			default:
				// Done meanwhile, or carried out unseen: what the store says
				// now decides.
				in.store.Barrier(func(now event.Time, ok bool, out *event.Effects) {
					if !ok {
						out.Busy(conn, retryAfter)
						return
					}
					in.cancel(now, conn, id, attempts+1, out)
				})
			}
		}}, now+in.cfg.Answer)
}
