package httpwire

import (
	"bytes"
	"strconv"
)

// lineEnd ends each line of a head, headEnd the head itself.
var (
	lineEnd = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
)

// lengthUnknown is the length in a head without Content-Length.
const lengthUnknown = -1

// maxLengthBits bounds Content-Length and chunk sizes, so that sums of them and
// the size of a head do not overflow.
const maxLengthBits = 31

// head is the parsed head of a request or response.
type head struct {
	first   []byte // request line or status line
	length  int    // Content-Length, or lengthUnknown
	chunked bool
	close   bool
	size    int // bytes of the head with its empty line
}

func parseHead(in []byte) (head, error) {
	h := head{length: lengthUnknown}
	end := bytes.Index(in[:min(len(in), MaxHead)], headEnd)
	if end < 0 {
		if len(in) >= MaxHead {
			return h, ErrTooLarge
		}
		return h, ErrIncomplete
	}
	h.size = end + len(headEnd)
	first, rest, _ := bytes.Cut(in[:end], lineEnd)
	h.first = first
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, lineEnd)
		if err := h.parseHeader(line); err != nil {
			return h, err
		}
	}
	// Receivers that disagree on which of the two counts see different requests
	// (request smuggling).
	if h.chunked && h.length != lengthUnknown {
		return h, ErrMalformed
	}
	return h, nil
}

// parseHeader takes one header line. Headers that do not concern us are ignored.
func (h *head) parseHeader(line []byte) error {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") {
		return ErrMalformed
	}
	value = bytes.TrimSpace(value)
	switch {
	case equalFold(name, "content-length"):
		n, err := strconv.ParseUint(string(value), 10, maxLengthBits)
		if err != nil || (h.length != lengthUnknown && h.length != int(n)) {
			return ErrMalformed
		}
		h.length = int(n)
	case equalFold(name, "transfer-encoding"):
		if !equalFold(value, "chunked") {
			return ErrMalformed
		}
		h.chunked = true
	case equalFold(name, "connection"):
		h.close = h.close || equalFold(value, "close")
	}
	return nil
}

// body returns the body that follows the head, by its Content-Length, and the
// size of the whole message.
func (h *head) body(in []byte, maxBody int) (body []byte, size int, err error) {
	if h.length > maxBody {
		return nil, 0, ErrTooLarge
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

// maxChunkLine is the longest line that gives a chunk's size.
const maxChunkLine = 32

// parseChunks returns the body in the chunks at the start of in, and their size
// with all framing. Trailers are not supported.
func parseChunks(in []byte, maxBody int) (body []byte, size int, err error) {
	for {
		chunk, n, err := parseChunk(in[size:], maxBody-len(body))
		if err != nil {
			return nil, 0, err
		}
		body = append(body, chunk...)
		size += n
		if len(chunk) == 0 {
			return body, size, nil
		}
	}
}

// parseChunk returns the data of the chunk at the start of in, and its size with
// its framing. The last chunk of a body is empty.
func parseChunk(in []byte, maxData int) (data []byte, size int, err error) {
	line, _, ok := bytes.Cut(in, lineEnd)
	if !ok {
		if len(in) > maxChunkLine {
			return nil, 0, ErrMalformed
		}
		return nil, 0, ErrIncomplete
	}
	length, err := strconv.ParseUint(string(line), 16, maxLengthBits)
	if err != nil {
		return nil, 0, ErrMalformed
	}
	if int(length) > maxData {
		return nil, 0, ErrTooLarge
	}
	begin := len(line) + len(lineEnd)
	end := begin + int(length)
	size = end + len(lineEnd)
	if len(in) < size {
		return nil, 0, ErrIncomplete
	}
	if !bytes.Equal(in[end:size], lineEnd) {
		return nil, 0, ErrMalformed
	}
	return in[begin:end], size, nil
}
