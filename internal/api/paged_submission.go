package api

import (
	"maps"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/httpwire"
	"lugward/internal/kv"
	"lugward/internal/pipeline"
	"lugward/internal/record"
)

const (
	// submissionTimeout bounds how long a list of upstream jobs is being stored.
	// The user has long been answered 503 by then; what an attempt leaves behind
	// is deleted by the leader.
	submissionTimeout = 20 * time.Second
	// maxWriteRetries bounds the repeats of writes without an answer, for all
	// writes of one attempt together.
	maxWriteRetries = 5
)

// pagedSubmission is an attempt to store a submission whose list of upstream jobs
// takes several pages. The first page stands for the attempt: every other page and,
// at the end, the job's record are written on condition that the first page has
// this attempt's revision. So a late write, or a concurrent attempt's, fails, and
// only the last write makes the job accepted.
type pagedSubmission struct {
	job       *pipeline.Job
	conn      uint64 // whom to answer
	startedAt event.Time
	// answered means that the user has got 503 already.
	answered bool

	pages             [][]byte
	firstPageRevision uint64
	nextPage          int // the page to be written next
	// inFlight is the number of writes under way after that of the first page.
	inFlight int
	retries  int
}

// firstPageKey is the key that stands for the attempt.
func (p *pagedSubmission) firstPageKey() string { return record.UpstreamPageKey(p.job.ID, 0) }

// startPagedSubmission begins an attempt by writing the first page, unless another
// attempt for the same job is under way, here or, as its first page shows, elsewhere.
func (s *Server) startPagedSubmission(now event.Time, conn uint64, j *pipeline.Job, pages [][]byte, out *event.Effects) {
	revision, age := s.jobs.SubmissionAttempt(j.ID, now)
	if s.pagedSubmissions[j.ID] != nil || (revision != 0 && age < pipeline.SubmissionAttemptTimeout) {
		out.ReplyUnavailable(conn, minRetryAfter)
		return
	}
	p := &pagedSubmission{job: j, conn: conn, startedAt: now, pages: pages, nextPage: 1}
	s.pagedSubmissions[j.ID] = p
	s.submitWrite(now, p, kv.Write{Key: p.firstPageKey(), Data: pages[0]}, revision, func(r kv.Result) {
		s.handleFirstPage(p, r)
	})
}

// handleFirstPage handles the result of the write of the first page.
func (s *Server) handleFirstPage(p *pagedSubmission, r kv.Result) {
	switch r.Outcome {
	case kv.Committed:
		p.firstPageRevision = r.Revision
		p.job.SetSubmissionRevision(r.Revision)
		s.writeNextPages(r.Now, p)
	case kv.Aborted, kv.Rejected:
		s.finishAborted(p, r)
	default:
		// The first page that is stored may be ours or another attempt's: its
		// value does not tell them apart.
		s.finishAsStored(p)
	}
}

// submitWrite submits one write of an attempt. It requires that the first page has
// the given revision, and that the job neither has been accepted nor has ended.
func (s *Server) submitWrite(now event.Time, p *pagedSubmission, write kv.Write, firstPageRevision uint64, done func(kv.Result)) {
	s.store.Submit(&kv.Txn{
		Priority: kv.PrioritySubmission,
		Compares: []kv.Compare{
			{Key: p.firstPageKey(), ModRevision: firstPageRevision},
			{Key: record.JobKey(p.job.ID)},
			{Key: record.TerminalKey(p.job.ID)},
		},
		Writes: []kv.Write{write},
		Done:   done,
	}, now+submissionTimeout)
}

// writeNextPages sends as many pages as one transaction takes, so that other
// submissions have their turn in between, and the job's record after the last.
func (s *Server) writeNextPages(now event.Time, p *pagedSubmission) {
	for p.nextPage < len(p.pages) && p.inFlight < s.cfg.TxnOps {
		page := p.nextPage
		p.nextPage++
		p.inFlight++
		write := kv.Write{Key: record.UpstreamPageKey(p.job.ID, page), Data: p.pages[page]}
		s.writeWithRetries(now, p, write, func(r kv.Result) {
			p.inFlight--
			s.writeNextPages(r.Now, p)
		})
	}
	if p.nextPage == len(p.pages) && p.inFlight == 0 {
		p.inFlight++
		s.writeRecord(now, p)
	}
}

// writeRecord writes the job's record, which accepts the job.
func (s *Server) writeRecord(now event.Time, p *pagedSubmission) {
	write := kv.Write{Key: record.JobKey(p.job.ID), Data: pipeline.EncodeJob(s.names, p.job)}
	s.writeWithRetries(now, p, write, func(r kv.Result) {
		s.finish(p)
		if !p.answered {
			r.Out.Reply(p.conn, httpwire.StatusCreated, s.statusOfNew(p.job.ID))
		}
	})
}

// writeWithRetries writes a value on condition of the first page, and again if no
// answer comes: carried out twice, the write changes nothing. committed is called on
// success; any other outcome ends the attempt.
func (s *Server) writeWithRetries(now event.Time, p *pagedSubmission, write kv.Write, committed func(kv.Result)) {
	if !s.isActive(p) {
		return
	}
	s.submitWrite(now, p, write, p.firstPageRevision, func(r kv.Result) {
		switch {
		case !s.isActive(p):
		case r.Outcome == kv.Committed:
			committed(r)
		case r.Outcome == kv.Unknown && p.retries < maxWriteRetries:
			p.retries++
			s.writeWithRetries(r.Now, p, write, committed)
		case r.Outcome == kv.Aborted || r.Outcome == kv.Rejected:
			s.finishAborted(p, r)
		default:
			s.finishAsStored(p)
		}
	})
}

// isActive reports whether the attempt has not ended.
func (s *Server) isActive(p *pagedSubmission) bool { return s.pagedSubmissions[p.job.ID] == p }

// finish ends an attempt.
func (s *Server) finish(p *pagedSubmission) { delete(s.pagedSubmissions, p.job.ID) }

// finishAborted ends an attempt of which a write was not executed.
func (s *Server) finishAborted(p *pagedSubmission, r kv.Result) {
	s.finish(p)
	if !p.answered {
		refuse(p.conn, s.backlogError(), r.Out)
	}
}

// finishAsStored ends an attempt that lost to another, or whose outcome is unknown:
// what is stored decides the answer.
func (s *Server) finishAsStored(p *pagedSubmission) {
	s.finish(p)
	if !p.answered {
		s.answerAsStored(p.conn, p.job.ID)
	}
}

// Tick answers 503 to users whose lists of upstream jobs take long to store (their
// retry finds the job) and ends attempts that have lasted too long.
func (s *Server) Tick(now event.Time, out *event.Effects) {
	for _, id := range slices.Sorted(maps.Keys(s.pagedSubmissions)) {
		p := s.pagedSubmissions[id]
		age := now - p.startedAt
		if !p.answered && age > s.cfg.AnswerTimeout {
			out.ReplyUnavailable(p.conn, minRetryAfter)
			p.answered = true
		}
		if age > submissionTimeout {
			s.finish(p)
		}
	}
}
