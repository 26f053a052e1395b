package httpwire

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

func TestParseRequest(t *testing.T) {
	for _, c := range []struct {
		name string
		in   string
		err  error
		body string
		size int
	}{
		{"with a body", "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcdef", nil, "abc", 42},
		{"without a body", "GET /a HTTP/1.1\r\n\r\n", nil, "", 19},
		{"part of the body", "POST /a HTTP/1.1\r\ncontent-length: 3\r\n\r\nab", ErrIncomplete, "", 0},
		{"part of the head", "GET /a HT", ErrIncomplete, "", 0},
		{"missing protocol", "GET /a\r\n\r\n", errRequestLine, "", 0},
		{"target without slash", "GET a HTTP/1.1\r\n\r\n", errRequestLine, "", 0},
		{"another protocol", "GET /a FTP/1.1\r\n\r\n", errRequestLine, "", 0},
		{"header without a colon", "GET /a HTTP/1.1\r\nno colon\r\n\r\n", errHeaderLine, "", 0},
		{"space before the colon", "GET /a HTTP/1.1\r\nName : v\r\n\r\n", errHeaderLine, "", 0},
		{"negative length", "POST /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n", errContentLength, "", 0},
		{"conflicting lengths", "POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", errContentLength, "", 0},
		{"length and chunked encoding", "POST /a HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\na", errConflictingLengths, "", 0},
		{"body too large", "POST /a HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", errBodyTooLarge, "", 0},
		{"head too large", "GET /" + strings.Repeat("a", MaxHeadBytes), errHeadTooLarge, "", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			m, size, err := ParseRequest([]byte(c.in))
			if !errors.Is(err, c.err) || string(m.Body) != c.body || size != c.size {
				t.Errorf("ParseRequest returned error %v, body %q, %d bytes, want error %v, body %q, %d bytes", err, m.Body, size, c.err, c.body, c.size)
			}
		})
	}
}

// TestParseErrors checks that every error of the parser except ErrIncomplete belongs to
// exactly one class and has status 400.
func TestParseErrors(t *testing.T) {
	for class, list := range map[error][]*ParseError{
		ErrTooLarge: {errHeadTooLarge, errBodyTooLarge, errChunkTooLarge},
		ErrMalformed: {
			errRequestLine, errStatusLine, errHeaderLine, errContentLength, errTransferEncoding,
			errConflictingLengths, errChunkedRequest, errChunkSize, errChunkEnd,
		},
	} {
		for _, err := range list {
			wrapped := fmt.Errorf("reading: %w", err)
			var parseError *ParseError
			if !errors.As(wrapped, &parseError) || parseError.Status() != StatusBadRequest {
				t.Errorf("error %v: want a ParseError with status %d", err, StatusBadRequest)
			}
			for _, other := range []error{ErrIncomplete, ErrMalformed, ErrTooLarge} {
				if errors.Is(wrapped, other) != errors.Is(class, other) {
					t.Errorf("errors.Is(%q, %q) = %v, want %v", wrapped, other, errors.Is(wrapped, other), errors.Is(class, other))
				}
			}
		}
	}
}

func TestParseResponse(t *testing.T) {
	for _, c := range []struct {
		name   string
		in     string
		err    error
		status int
		body   string
	}{
		{"with a body", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", nil, 200, "{}"},
		{"chunked body", "HTTP/1.1 409\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", nil, 409, "{}"},
		{"part of the chunked body", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}", ErrIncomplete, 200, ""},
		{"chunk without a size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxx\r\n{}", errChunkSize, 200, ""},
		{"chunk without an end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}xx", errChunkEnd, 200, ""},
		{"chunk too large", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n33\r\n", errChunkTooLarge, 200, ""},
		{"another encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", errTransferEncoding, 200, ""},
		{"body too large", "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n", errBodyTooLarge, 200, ""},
		{"status is not a number", "HTTP/1.1 abc OK\r\n\r\n", errStatusLine, 0, ""},
		{"no status line", "nonsense\r\n\r\n", errStatusLine, 0, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			m, _, err := ParseResponse([]byte(c.in), 50)
			if !errors.Is(err, c.err) || (err == nil && (m.Status != c.status || string(m.Body) != c.body)) {
				t.Errorf("ParseResponse returned error %v, status %d, body %q, want error %v, status %d, body %q", err, m.Status, m.Body, c.err, c.status, c.body)
			}
		})
	}
}

// FuzzParse checks that no input makes the parsers panic or return a size larger than
// the input, and that a parsed request that is written again parses to the same request.
func FuzzParse(f *testing.F) {
	f.Add([]byte("POST /submissions HTTP/1.1\r\nHost: node\r\nContent-Length: 2\r\n\r\n{}"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.1\r\n:\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		if _, n, err := ParseResponse(in, 1<<16); err == nil && n > len(in) {
			t.Fatalf("ParseResponse returned size %d, want at most %d", n, len(in))
		}
		m, n, err := ParseRequest(in)
		if err != nil {
			return
		}
		if n > len(in) {
			t.Fatalf("ParseRequest returned size %d, want at most %d", n, len(in))
		}
		again, _, err := ParseRequest(AppendRequest(nil, m.Method, m.Target, "h", m.Body))
		if err != nil || again.Method != m.Method || again.Target != m.Target || string(again.Body) != string(m.Body) {
			t.Fatalf("request written and parsed again = %+v, %v, want %+v", again, err, m)
		}
	})
}
