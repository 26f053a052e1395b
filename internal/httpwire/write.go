package httpwire

import "strconv"

// Response is an HTTP response to send.
type Response struct {
	Status     int
	Body       []byte // JSON, or empty
	RetryAfter int    // seconds in the Retry-After header, zero for no header
	Close      bool   // adds the header Connection: close
}

// AppendResponse appends a response to dst.
func AppendResponse(dst []byte, r Response) []byte {
	dst = append(dst, "HTTP/1.1 "...)
	dst = strconv.AppendInt(dst, int64(r.Status), 10)
	dst = append(dst, ' ')
	dst = append(dst, reasonPhrases[r.Status]...)
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

// AppendRequest appends a request to dst. host is the value of its Host header. body is
// JSON or empty.
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

// appendBody appends the Content-Length header, the end of the head, and the body.
func appendBody(dst, body []byte) []byte {
	dst = append(dst, "\r\nContent-Length: "...)
	dst = strconv.AppendInt(dst, int64(len(body)), 10)
	dst = append(dst, "\r\n\r\n"...)
	return append(dst, body...)
}
