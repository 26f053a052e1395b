package api

import (
	"maps"
	"slices"
	"time"

	"lugward/internal/event"
	"lugward/internal/kv"
	"lugward/internal/pipeline"
	"lugward/internal/record"
)

const (
	// pagedSubmissionTimeout is the time limit for writing a submission in pages.
	// The user has received 503 long before. The leader deletes the pages that an
	// unfinished attempt leaves behind.
	pagedSubmissionTimeout = 20 * time.Second
	// maxWriteRetries is the maximum number of retries of writes with an unknown
	// outcome, in total for all writes of an attempt.
	maxWriteRetries = 5
)

// pagedSubmission is an attempt to write a submission whose list of upstream jobs does
// not fit in the job's record and is split into pages. The revision of the first page
// identifies the attempt. The other pages, and finally the job's record, are written on
// condition that the first page still has this revision. Late writes and writes of
// concurrent attempts therefore fail. The job is accepted only when its record, the last
// write, is committed.
type pagedSubmission struct {
	job       *pipeline.Job
	conn      uint64 // the connection to reply on
	startedAt event.Time
	// replied is set when the user has received 503.
	replied bool

	pages             [][]byte
	pageBytes         int // total size of pages
	firstPageRevision uint64
	nextPage          int // index of the next page to write
	// writesInFlight is the number of writes without a result yet. It does not count
	// the write of the first page.
	writesInFlight int
	retries        int
}

// firstPageKey returns the key of the first page, whose revision identifies the attempt.
func (p *pagedSubmission) firstPageKey() string { return record.UpstreamPageKey(p.job.ID, 0) }

// startPagedSubmission starts an attempt by writing the first page. It replies with 503
// if another attempt for the same job is in progress: on this controller, or on another
// one whose first page is in the watch cache and has not timed out.
func (s *Server) startPagedSubmission(now event.Time, conn uint64, j *pipeline.Job, pages [][]byte, out *event.Effects) {
	revision, age := s.jobs.SubmissionAttempt(j.ID, now)
	if s.pagedSubmissions[j.ID] != nil || (revision != 0 && age < pipeline.SubmissionAttemptTimeout) {
		out.ReplyUnavailable(conn, minRetryAfter)
		return
	}
	p := &pagedSubmission{job: j, conn: conn, startedAt: now, pages: pages, nextPage: 1}
	for _, page := range pages {
		p.pageBytes += len(page)
	}
	s.pagedSubmissions[j.ID] = p
	s.submitWrite(now, p, kv.Write{Key: p.firstPageKey(), Data: pages[0]}, revision, func(r kv.Result) {
		s.handleFirstPageResult(p, r)
	})
}

// handleFirstPageResult handles the result of the write of the first page. It ignores the
// result if the attempt has ended: its user has received 503, and another attempt for the same
// job may be active.
func (s *Server) handleFirstPageResult(p *pagedSubmission, r kv.Result) {
	if !s.isActive(p) {
		return
	}
	switch r.Outcome {
	case kv.Committed:
		p.firstPageRevision = r.Revision
		p.job.SetSubmissionRevision(r.Revision)
		s.writeNextPages(r.Now, p)
	case kv.Aborted, kv.Rejected:
		s.finishAborted(p, r)
	default:
		// The stored first page may belong to this attempt or to another one. Its
		// value does not identify the attempt.
		s.finishWithPersistedStatus(p)
	}
}

// submitWrite submits one write of an attempt. The write requires that the first page
// has the given revision and that the job has neither a record nor a terminal record.
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
	}, now+pagedSubmissionTimeout)
}

// writeNextPages writes the next pages, and the job's record when all pages are
// committed. At most as many writes as fit in one transaction are in flight at a time,
// so that the writes of other submissions are sent in between.
func (s *Server) writeNextPages(now event.Time, p *pagedSubmission) {
	for p.nextPage < len(p.pages) && p.writesInFlight < s.cfg.TxnOps {
		page := p.nextPage
		p.nextPage++
		p.writesInFlight++
		write := kv.Write{Key: record.UpstreamPageKey(p.job.ID, page), Data: p.pages[page]}
		s.writeWithRetries(now, p, write, func(r kv.Result) {
			p.writesInFlight--
			s.writeNextPages(r.Now, p)
		})
	}
	if p.nextPage == len(p.pages) && p.writesInFlight == 0 {
		p.writesInFlight++
		s.writeRecord(now, p)
	}
}

// writeRecord writes the job's record. The job is accepted when the write is committed.
func (s *Server) writeRecord(now event.Time, p *pagedSubmission) {
	write := kv.Write{Key: record.JobKey(p.job.ID), Data: pipeline.EncodeJob(s.names, p.job)}
	s.writeWithRetries(now, p, write, func(r kv.Result) {
		s.finish(p)
		if !p.replied {
			s.replyAccepted(r.Now, p.conn, p.job.ID, r.Out)
		}
	})
}

// writeWithRetries writes a value on condition of the first page's revision. It retries
// a write whose outcome is unknown, which is safe because the write is idempotent. It
// calls handleCommit when the write is committed; any other outcome ends the attempt.
func (s *Server) writeWithRetries(now event.Time, p *pagedSubmission, write kv.Write, handleCommit func(kv.Result)) {
	if !s.isActive(p) {
		return
	}
	s.submitWrite(now, p, write, p.firstPageRevision, func(r kv.Result) {
		switch {
		case !s.isActive(p):
		case r.Outcome == kv.Committed:
			handleCommit(r)
		case r.Outcome == kv.Unknown && p.retries < maxWriteRetries:
			p.retries++
			s.writeWithRetries(r.Now, p, write, handleCommit)
		case r.Outcome == kv.Aborted || r.Outcome == kv.Rejected:
			s.finishAborted(p, r)
		default:
			s.finishWithPersistedStatus(p)
		}
	})
}

// isActive reports whether the attempt has not ended.
func (s *Server) isActive(p *pagedSubmission) bool { return s.pagedSubmissions[p.job.ID] == p }

// finish ends an attempt.
func (s *Server) finish(p *pagedSubmission) { delete(s.pagedSubmissions, p.job.ID) }

// finishAborted ends an attempt after one of its writes was aborted or rejected. It
// replies with 503 unless the user has already received it.
func (s *Server) finishAborted(p *pagedSubmission, r kv.Result) {
	s.finish(p)
	if !p.replied {
		replyError(p.conn, s.backlogError(), r.Out)
	}
}

// finishWithPersistedStatus ends an attempt that conflicted with another one or has an
// unknown outcome, and replies according to the persisted state.
func (s *Server) finishWithPersistedStatus(p *pagedSubmission) {
	s.finish(p)
	if !p.replied {
		s.replyWithPersistedStatus(p.conn, p.job.ID)
	}
}

// expirePagedSubmissions replies with 503 to paged submissions that exceed the request timeout and
// ends those that exceed pagedSubmissionTimeout. A submission continues after the 503, so the
// user's retry finds the job.
func (s *Server) expirePagedSubmissions(now event.Time, out *event.Effects) {
	for _, id := range slices.Sorted(maps.Keys(s.pagedSubmissions)) {
		p := s.pagedSubmissions[id]
		age := now - p.startedAt
		if !p.replied && age > s.cfg.RequestTimeout {
			out.ReplyUnavailable(p.conn, minRetryAfter)
			p.replied = true
		}
		if age > pagedSubmissionTimeout {
			s.finish(p)
		}
	}
}
