// Package httpwire parses and writes the HTTP/1.1 that lugward speaks: bodies
// with Content-Length or, from servers, chunked; no pipelining. It is a codec alone:
// callers own the buffers, and parsed bodies may point into them.
package httpwire

import (
	"bytes"
	"strconv"
)

// Limits on what a sender can make us buffer, in bytes.
const (
	// MaxHead is the largest head of a message.
	MaxHead = 16 << 10
	// MaxBody is the largest body of a request, as the protocol has it.
	MaxBody = 64 << 10
)

// minStatus and maxStatus bound the status codes that HTTP defines.
const (
	minStatus = 100
	maxStatus = 599
)

// Message is a parsed request or response. Body may point into the input.
type Message struct {
	Method, Target string // of a request
	Status         int    // of a response
	Close          bool   // the sender ends the connection after this message
	Body           []byte
}

// protocolPrefix begins the protocol version in request and status lines.
var protocolPrefix = []byte("HTTP/1.")

// ParseRequest parses the request at the start of in and returns its size in bytes.
// Its errors are ErrIncomplete or *ParseError.
func ParseRequest(in []byte) (Message, int, error) {
	var m Message
	h, err := parseHead(in)
	if err != nil {
		return m, 0, err
	}
	words := bytes.Split(h.first, []byte(" "))
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
	body, size, err := h.body(in, MaxBody)
	m.Body = body
	return m, size, err
}

// ParseResponse parses the response at the start of in and returns its size in
// bytes. Its errors are ErrIncomplete or *ParseError; a body larger than maxBody is
// one that wraps ErrTooLarge.
func ParseResponse(in []byte, maxBody int) (Message, int, error) {
	var m Message
	h, err := parseHead(in)
	if err != nil {
		return m, 0, err
	}
	words := bytes.SplitN(h.first, []byte(" "), 3)
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
