package api

import (
	"errors"
	"fmt"

	"lugward/internal/event"
	"lugward/internal/httpwire"
)

// badField describes an invalid field of a submission.
type badField struct {
	Field    string // the field's name in the API; empty means the whole body
	Value    any    // the value found; nil if there is none
	Expected string
}

// String returns the field, the expected value and the value found.
func (b *badField) String() string {
	field, value := b.Field, any("nothing")
	if field == "" {
		field = "body"
	}
	if b.Value != nil {
		value = b.Value
	}
	return fmt.Sprintf("%s: expected %s, found %v", field, b.Expected, value)
}

// malformedError reports a request body that is not a valid submission.
type malformedError struct {
	badField
	Err error // the cause, or nil
}

// Error implements error.
func (e *malformedError) Error() string { return "malformed submission: " + e.String() }

// Unwrap returns the cause, or nil.
func (e *malformedError) Unwrap() error { return e.Err }

// infeasibleError reports a job that could never run.
type infeasibleError struct{ badField }

// Error implements error.
func (e *infeasibleError) Error() string { return "job can never run: " + e.String() }

// unavailableError reports that a request cannot be decided or executed now.
type unavailableError struct {
	Reason     string
	RetryAfter int // seconds after which the client may retry
}

// Error implements error.
func (e *unavailableError) Error() string {
	return fmt.Sprintf("%s: retry after %d s", e.Reason, e.RetryAfter)
}

// replyError replies to a request with the HTTP status for the given error.
func replyError(conn uint64, err error, out *event.Effects) {
	var malformed *malformedError
	var infeasible *infeasibleError
	var unavailable *unavailableError
	switch {
	case errors.As(err, &malformed):
		out.Reply(conn, httpwire.StatusBadRequest, nil)
	case errors.As(err, &infeasible):
		out.Reply(conn, httpwire.StatusUnprocessableContent, nil)
	case errors.As(err, &unavailable):
		out.ReplyUnavailable(conn, unavailable.RetryAfter)
	default:
		out.ReplyUnavailable(conn, minRetryAfter)
	}
}

// isUnavailable reports whether err is an *unavailableError: a retry of the request may
// get a different response.
func isUnavailable(err error) bool {
	var unavailable *unavailableError
	return errors.As(err, &unavailable)
}
