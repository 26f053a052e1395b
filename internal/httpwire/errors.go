package httpwire

import "errors"

// Classes of the parser's errors, for errors.Is.
var (
	// ErrIncomplete means that the input so far is valid but the message is incomplete.
	ErrIncomplete = errors.New("incomplete message")
	// ErrMalformed means that the input is not a valid message. The connection must be
	// closed.
	ErrMalformed = errors.New("malformed message")
	// ErrTooLarge means that the message exceeds a size limit. The connection must be
	// closed.
	ErrTooLarge = errors.New("message too large")
)

// ParseError is the reason why a message cannot be parsed. It wraps ErrMalformed or
// ErrTooLarge. The parser returns predefined values, so that invalid input causes no
// allocation.
type ParseError struct {
	Err    error // ErrMalformed or ErrTooLarge
	Reason string
}

// Error returns the class and the reason in one line.
func (e *ParseError) Error() string { return e.Err.Error() + ": " + e.Reason }

// Unwrap returns the class of the error.
func (e *ParseError) Unwrap() error { return e.Err }

// Status returns the HTTP status of the response to an invalid request. The protocol
// defines the same status for both classes: a body that exceeds the limit also counts as
// a malformed submission.
func (e *ParseError) Status() int { return StatusBadRequest }

// Errors of the parser.
var (
	errHeadTooLarge  = &ParseError{ErrTooLarge, "head exceeds the size limit"}
	errBodyTooLarge  = &ParseError{ErrTooLarge, "Content-Length exceeds the body limit"}
	errChunkTooLarge = &ParseError{ErrTooLarge, "chunks exceed the body limit"}

	errRequestLine        = &ParseError{ErrMalformed, "expected a request line: METHOD /TARGET HTTP/1.x"}
	errStatusLine         = &ParseError{ErrMalformed, "expected a status line: HTTP/1.x STATUS"}
	errHeaderLine         = &ParseError{ErrMalformed, "expected a header line: NAME: VALUE"}
	errContentLength      = &ParseError{ErrMalformed, "Content-Length is not a number, out of range, or repeated with another value"}
	errTransferEncoding   = &ParseError{ErrMalformed, "Transfer-Encoding is not chunked"}
	errConflictingLengths = &ParseError{ErrMalformed, "both Content-Length and Transfer-Encoding"}
	errChunkedRequest     = &ParseError{ErrMalformed, "chunked requests are not supported"}
	errChunkSize          = &ParseError{ErrMalformed, "expected a chunk size"}
	errChunkEnd           = &ParseError{ErrMalformed, "expected a line end after the data of a chunk"}
)
