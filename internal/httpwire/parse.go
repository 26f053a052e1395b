// Package httpwire parses and writes the subset of HTTP/1.1 that lugward uses: bodies
// have a Content-Length or, in responses, are chunked; pipelining is not supported. The
// package is only a codec: callers own the buffers, and parsed bodies may point into
// them.
package httpwire

import (
	"bytes"
	"strconv"
)

// Limits on how much data a sender can cause to be buffered, in bytes.
const (
	// MaxHeadBytes is the maximum size of the head of a message.
	MaxHeadBytes = 16 << 10
	// MaxBodyBytes is the maximum size of the body of a request, as defined by the protocol.
	MaxBodyBytes = 64 << 10
)

// minStatus and maxStatus are the bounds of the status codes that HTTP defines.
const (
	minStatus = 100
	maxStatus = 599
)

// Message is a parsed request or response. Body may point into the input.
type Message struct {
	Method, Target string // requests only
	Status         int    // responses only
	Close          bool   // the sender closes the connection after this message
	Body           []byte
}

// protocolPrefix is the prefix of the protocol version in request and status lines.
var protocolPrefix = []byte("HTTP/1.")

// ParseRequest parses the request at the start of in and returns its size in bytes.
// Its errors are ErrIncomplete or *ParseError.
func ParseRequest(in []byte) (Message, int, error) {
	var m Message
	h, err := parseHead(in)
	if err != nil {
		return m, 0, err
	}
	words := bytes.Split(h.startLine, []byte(" "))
	if len(words) != 3 {
		return m, 0, errRequestLine
	}
	method, target, protocol := words[0], words[1], words[2]
	if len(method) == 0 || !bytes.HasPrefix(target, []byte("/")) || !bytes.HasPrefix(protocol, protocolPrefix) {
		return m, 0, errRequestLine
	}
	if h.chunked {
		return m, 0, errChunkedRequest
	}
	m.Method = string(method)
	m.Target = string(target)
	m.Close = h.close
	body, size, err := h.body(in, MaxBodyBytes)
	m.Body = body
	return m, size, err
}

// ParseResponse parses the response at the start of in and returns its size in
// bytes. Its errors are ErrIncomplete or *ParseError. If the body is larger than maxBody
// bytes, the error wraps ErrTooLarge.
func ParseResponse(in []byte, maxBody int) (Message, int, error) {
	var m Message
	h, err := parseHead(in)
	if err != nil {
		return m, 0, err
	}
	words := bytes.SplitN(h.startLine, []byte(" "), 3)
	if len(words) < 2 || !bytes.HasPrefix(words[0], protocolPrefix) {
		return m, 0, errStatusLine
	}
	m.Status, err = strconv.Atoi(string(words[1]))
	if err != nil || m.Status < minStatus || m.Status > maxStatus {
		return m, 0, errStatusLine
	}
	m.Close = h.close
	if h.chunked {
		body, size, err := parseChunks(in[h.size:], maxBody)
		if err != nil {
			return m, 0, err
		}
		m.Body = body
		return m, h.size + size, nil
	}
	body, size, err := h.body(in, maxBody)
	m.Body = body
	return m, size, err
}
