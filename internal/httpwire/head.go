package httpwire

import (
	"bytes"
	"strconv"
)

// lineEnd terminates each line of a head, headEnd the head itself.
var (
	lineEnd = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
)

// The headers that the parser interprets, in lower case.
const (
	headerContentLength    = "content-length"
	headerTransferEncoding = "transfer-encoding"
	headerConnection       = "connection"
)

// lengthUnknown is the length of a head without Content-Length.
const lengthUnknown = -1

// maxLengthBits limits Content-Length and chunk sizes, so that adding them to the size
// of a head does not overflow.
const maxLengthBits = 31

// head is the parsed head of a request or response.
type head struct {
	startLine []byte // request line or status line
	length    int    // Content-Length, or lengthUnknown
	chunked   bool
	close     bool
	size      int // bytes of the head, including the empty line at its end
}

// parseHead parses the head at the start of in. Its errors are ErrIncomplete or
// *ParseError.
func parseHead(in []byte) (head, error) {
	h := head{length: lengthUnknown}
	end := bytes.Index(in[:min(len(in), MaxHeadBytes)], headEnd)
	if end < 0 {
		if len(in) >= MaxHeadBytes {
			return h, errHeadTooLarge
		}
		return h, ErrIncomplete
	}
	h.size = end + len(headEnd)
	startLine, rest, _ := bytes.Cut(in[:end], lineEnd)
	h.startLine = startLine
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, lineEnd)
		if err := h.parseHeader(line); err != nil {
			return h, err
		}
	}
	// Receivers that disagree on which of the two headers takes precedence see
	// different requests (request smuggling).
	if h.chunked && h.length != lengthUnknown {
		return h, errConflictingLengths
	}
	return h, nil
}

// parseHeader parses one header line. Headers that the parser does not interpret are
// ignored.
func (h *head) parseHeader(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") {
		return errHeaderLine
	}
	value = bytes.TrimSpace(value)
	switch {
	case equalFold(name, headerContentLength):
		length, err := strconv.ParseUint(string(value), 10, maxLengthBits)
		if err != nil || (h.length != lengthUnknown && h.length != int(length)) {
			return errContentLength
		}
		h.length = int(length)
	case equalFold(name, headerTransferEncoding):
		if !equalFold(value, "chunked") {
			return errTransferEncoding
		}
		h.chunked = true
	case equalFold(name, headerConnection):
		h.close = h.close || equalFold(value, "close")
	}
	return nil
}

// body returns the body that follows the head, as delimited by Content-Length, and the
// size of the whole message.
func (h *head) body(in []byte, maxBody int) (body []byte, size int, err error) {
	if h.length > maxBody {
		return nil, 0, errBodyTooLarge
	}
	size = h.size + max(h.length, 0)
	if len(in) < size {
		return nil, 0, ErrIncomplete
	}
	return in[h.size:size], size, nil
}

func equalFold(b []byte, s string) bool {
	return len(b) == len(s) && bytes.EqualFold(b, []byte(s))
}
