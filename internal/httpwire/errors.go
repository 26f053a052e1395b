package httpwire

import "errors"

// Classes of the parser's errors, for errors.Is.
var (
	// ErrIncomplete means that the message is good so far and more input is needed.
	ErrIncomplete = errors.New("incomplete message")
	// ErrMalformed means that the input is no message: the connection must end.
	ErrMalformed = errors.New("malformed message")
	// ErrTooLarge means that the message exceeds a limit: the connection must end.
	ErrTooLarge = errors.New("message too large")
)

// ParseError says what is wrong with a message. It wraps ErrMalformed or ErrTooLarge.
// The parser's errors are fixed values, so that bad input costs no memory.
type ParseError struct {
	Err    error // ErrMalformed or ErrTooLarge
	Reason string
}

// Error returns the class and the reason in one line.
func (e *ParseError) Error() string { return e.Err.Error() + ": " + e.Reason }

// Unwrap returns the class of the error.
func (e *ParseError) Unwrap() error { return e.Err }

// Status returns the HTTP status that a server answers the request with. The protocol
// has one for both classes: a body beyond the limit is a malformed submission, too.
func (e *ParseError) Status() int { return StatusBadRequest }

// What can be wrong with a message.
var (
	errHeadTooLarge  = &ParseError{ErrTooLarge, "head beyond MaxHead"}
	errBodyTooLarge  = &ParseError{ErrTooLarge, "Content-Length beyond the limit of the body"}
	errChunkTooLarge = &ParseError{ErrTooLarge, "chunks beyond the limit of the body"}

	errRequestLine      = &ParseError{ErrMalformed, "expected a request line: METHOD /TARGET HTTP/1.x"}
	errStatusLine       = &ParseError{ErrMalformed, "expected a status line: HTTP/1.x STATUS"}
	errHeaderLine       = &ParseError{ErrMalformed, "expected a header line: NAME: VALUE"}
	errContentLength    = &ParseError{ErrMalformed, "Content-Length is no number, or given twice"}
	errTransferEncoding = &ParseError{ErrMalformed, "expected the Transfer-Encoding chunked"}
	errTwoLengths       = &ParseError{ErrMalformed, "both Content-Length and Transfer-Encoding"}
	errChunkedRequest   = &ParseError{ErrMalformed, "a request in chunks"}
	errChunkSize        = &ParseError{ErrMalformed, "expected the size of a chunk"}
	errChunkEnd         = &ParseError{ErrMalformed, "expected the end of a chunk"}
)
