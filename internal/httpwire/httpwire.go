// Package httpwire parses and writes the HTTP/1.1 that lugward speaks: bodies
// with Content-Length or, from servers, chunked; no pipelining.
package httpwire

import (
	"bytes"
	"errors"
	"strconv"
)

// Limits on what a sender can make us buffer.
const (
	// MaxHead is the largest head of a message, in bytes.
	MaxHead = 16 << 10
	// MaxBody is the largest body of a request, in bytes, as the protocol has it.
	MaxBody = 64 << 10
)

// minStatus and maxStatus bound the status codes that HTTP defines.
const (
	minStatus = 100
	maxStatus = 599
)

// Errors of the parser.
var (
	// ErrIncomplete means that the message is good so far and more input is needed.
	ErrIncomplete = errors.New("incomplete message")
	// ErrMalformed means that the input is no message: the connection must end.
	ErrMalformed = errors.New("malformed message")
	// ErrTooLarge means that the message exceeds a limit: the connection must end.
	ErrTooLarge = errors.New("message too large")
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

// ParseRequest parses the request at the start of in and returns its size.
func ParseRequest(in []byte) (Message, int, error) {
	var m Message
	h, err := parseHead(in)
	if err != nil {
		return m, 0, err
	}
	parts := bytes.Split(h.first, []byte(" "))
	if len(parts) != 3 {
		return m, 0, ErrMalformed
	}
	method, target, protocol := parts[0], parts[1], parts[2]
	if len(method) == 0 || !bytes.HasPrefix(target, []byte("/")) || !bytes.HasPrefix(protocol, protocolPrefix) {
		return m, 0, ErrMalformed
	}
	if h.chunked {
		return m, 0, ErrMalformed
	}
	m.Method = string(method)
	m.Target = string(target)
	m.Close = h.close
	body, n, err := h.body(in, MaxBody)
	m.Body = body
	return m, n, err
}

// ParseResponse parses the response at the start of in and returns its size.
// A body larger than maxBody is ErrTooLarge.
func ParseResponse(in []byte, maxBody int) (Message, int, error) {
	var m Message
	h, err := parseHead(in)
	if err != nil {
		return m, 0, err
	}
	parts := bytes.SplitN(h.first, []byte(" "), 3)
	if len(parts) < 2 || !bytes.HasPrefix(parts[0], protocolPrefix) {
		return m, 0, ErrMalformed
	}
	m.Status, err = strconv.Atoi(string(parts[1]))
	if err != nil || m.Status < minStatus || m.Status > maxStatus {
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

// Response is a response to be sent.
type Response struct {
	Status     int
	Body       []byte
	RetryAfter int  // seconds, 0: no header
	Close      bool // announces the end of the connection
}

// AppendResponse appends a response to dst.
func AppendResponse(dst []byte, r Response) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(r.Status), 10)
	dst = append(dst, ' ')
	dst = append(dst, reasons[r.Status]...)
	if len(r.Body) > 0 {
		dst = append(dst, "\r\nContent-Type: application/json"...)
	}
	if r.RetryAfter > 0 {
		dst = append(dst, "\r\nRetry-After: "...)
		dst = strconv.AppendInt(dst, int64(r.RetryAfter), 10)
	}
	if r.Close {
		dst = append(dst, "\r\nConnection: close"...)
	}
	return appendBody(dst, r.Body)
}

// AppendRequest appends a request to dst; host is the value of its Host header.
func AppendRequest(dst []byte, method, target, host string, body []byte) []byte {
	dst = append(dst, method...)
	dst = append(dst, ' ')
	dst = append(dst, target...)
	dst = append(dst, " HTTP/1.1\r\nHost: "...)
	dst = append(dst, host...)
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
