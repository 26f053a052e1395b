// Package httpwire parses and writes the HTTP/1.1 that lugward speaks: bodies
// with Content-Length or, from servers, chunked; no pipelining.
package httpwire

import (
	"bytes"
	"errors"
	"strconv"
)

// Limits against peers that send without end.
const (
	MaxHead = 16 << 10
	MaxBody = 64 << 10 // of a request, as the protocol says
)

// Errors of the parser. Incomplete asks for more input; the others end the
// connection.
var (
	ErrIncomplete = errors.New("incomplete message")
	ErrMalformed  = errors.New("malformed message")
	ErrTooLarge   = errors.New("message too large")
)

// Message is a parsed request or response. The slices point into the input.
type Message struct {
	Method, Target string // of a request
	Status         int    // of a response
	Close          bool
	Body           []byte
}

type head struct {
	first   []byte
	length  int
	chunked bool
	close   bool
	size    int // bytes of the head with its empty line
}

func parseHead(in []byte) (h head, err error) {
	end := bytes.Index(in[:min(len(in), MaxHead)], []byte("\r\n\r\n"))
	if end < 0 {
		if len(in) >= MaxHead {
			return h, ErrTooLarge
		}
		return h, ErrIncomplete
	}
	h.size = end + 4
	h.length = -1
	rest := in[:end]
	h.first, rest, _ = bytes.Cut(rest, []byte("\r\n"))
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\r\n"))
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") {
			return h, ErrMalformed
		}
		value = bytes.TrimSpace(value)
		switch {
		case equalFold(name, "content-length"):
			n, err := strconv.ParseUint(string(value), 10, 31)
			if err != nil || (h.length >= 0 && h.length != int(n)) {
				return h, ErrMalformed
			}
			h.length = int(n)
		case equalFold(name, "transfer-encoding"):
			if !equalFold(value, "chunked") {
				return h, ErrMalformed
			}
			h.chunked = true
		case equalFold(name, "connection"):
			if equalFold(value, "close") {
				h.close = true
			}
		}
	}
	// Both at once is how requests are smuggled past a proxy.
	if h.chunked && h.length >= 0 {
		return h, ErrMalformed
	}
	return h, nil
}

// body returns the body that follows the head, by its Content-Length, and the
// size of the whole message.
func (h *head) body(in []byte, most int) (body []byte, n int, err error) {
	if h.length > most {
		return nil, 0, ErrTooLarge
	}
	n = h.size + max(h.length, 0)
	if len(in) < n {
		return nil, 0, ErrIncomplete
	}
	return in[h.size:n], n, nil
}

func equalFold(b []byte, s string) bool {
	return len(b) == len(s) && bytes.EqualFold(b, []byte(s))
}

// ParseRequest reads one request from the start of in and returns the number
// of bytes it took.
func ParseRequest(in []byte) (Message, int, error) {
	var m Message
	h, err := parseHead(in)
	if err != nil {
		return m, 0, err
	}
	parts := bytes.Split(h.first, []byte(" "))
	if len(parts) != 3 || len(parts[0]) == 0 || len(parts[1]) == 0 || parts[1][0] != '/' || !bytes.HasPrefix(parts[2], []byte("HTTP/1.")) {
		return m, 0, ErrMalformed
	}
	if h.chunked {
		return m, 0, ErrMalformed
	}
	m.Method, m.Target, m.Close = string(parts[0]), string(parts[1]), h.close
	body, n, err := h.body(in, MaxBody)
	m.Body = body
	return m, n, err
}

// ParseResponse reads one response from the start of in. maxBody bounds its
// body.
func ParseResponse(in []byte, maxBody int) (Message, int, error) {
	var m Message
	h, err := parseHead(in)
	if err != nil {
		return m, 0, err
	}
	parts := bytes.SplitN(h.first, []byte(" "), 3)
	if len(parts) < 2 || !bytes.HasPrefix(parts[0], []byte("HTTP/1.")) {
		return m, 0, ErrMalformed
	}
	m.Status, err = strconv.Atoi(string(parts[1]))
	if err != nil || m.Status < 100 || m.Status > 599 {
		return m, 0, ErrMalformed
	}
	m.Close = h.close
	if h.chunked {
		body, n, err := parseChunks(in[h.size:], maxBody)
		if err != nil {
			return m, 0, err
		}
		m.Body = body
		return m, h.size + n, nil
	}
	body, n, err := h.body(in, maxBody)
	m.Body = body
	return m, n, err
}

func parseChunks(in []byte, maxBody int) (body []byte, n int, err error) {
	for {
		line, _, ok := bytes.Cut(in[n:], []byte("\r\n"))
		if !ok {
			if len(in)-n > 32 {
				return nil, 0, ErrMalformed
			}
			return nil, 0, ErrIncomplete
		}
		size, err := strconv.ParseUint(string(line), 16, 31)
		if err != nil {
			return nil, 0, ErrMalformed
		}
		if len(body)+int(size) > maxBody {
			return nil, 0, ErrTooLarge
		}
		at := n + len(line) + 2
		if len(in) < at+int(size)+2 {
			return nil, 0, ErrIncomplete
		}
		if !bytes.Equal(in[at+int(size):at+int(size)+2], []byte("\r\n")) {
			return nil, 0, ErrMalformed
		}
		body = append(body, in[at:at+int(size)]...)
		n = at + int(size) + 2
		if size == 0 {
			return body, n, nil
		}
	}
}

// AppendResponse writes a response to dst.
func AppendResponse(dst []byte, status int, body []byte, retryAfter int, closing bool) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(status), 10)
	dst = append(dst, ' ')
	dst = append(dst, reasons[status]...)
	if len(body) > 0 {
		dst = append(dst, "\r\nContent-Type: application/json"...)
	}
	if retryAfter > 0 {
		dst = append(dst, "\r\nRetry-After: "...)
		dst = strconv.AppendInt(dst, int64(retryAfter), 10)
	}
	if closing {
		dst = append(dst, "\r\nConnection: close"...)
	}
	return appendBody(dst, body)
}

// AppendRequest writes a request to dst.
func AppendRequest(dst []byte, method, target, machine string, body []byte) []byte {
	dst = append(dst, method...)
	dst = append(dst, ' ')
	dst = append(dst, target...)
	dst = append(dst, " HTTP/1.1\r\nHost: "...)
	dst = append(dst, machine...)
	if len(body) > 0 {
		dst = append(dst, "\r\nContent-Type: application/json"...)
	}
	return appendBody(dst, body)
}

func appendBody(dst, body []byte) []byte {
	dst = append(dst, "\r\nContent-Length: "...)
	dst = strconv.AppendInt(dst, int64(len(body)), 10)
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, body...)
}
