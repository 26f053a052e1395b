package httpwire

import (
	"errors"
	"strings"
	"testing"
)

func TestParseRequest(t *testing.T) {
	for _, c := range []struct {
		in   string
		err  error
		body string
		n    int
	}{
		{"POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcdef", nil, "abc", 42},
		{"GET /a HTTP/1.1\r\n\r\n", nil, "", 19},
		{"POST /a HTTP/1.1\r\ncontent-length: 3\r\n\r\nab", ErrIncomplete, "", 0},
		{"GET /a HT", ErrIncomplete, "", 0},
		{"GET /a\r\n\r\n", ErrMalformed, "", 0},
		{"GET a HTTP/1.1\r\n\r\n", ErrMalformed, "", 0},
		{"GET /a FTP/1.1\r\n\r\n", ErrMalformed, "", 0},
		{"GET /a HTTP/1.1\r\nno colon\r\n\r\n", ErrMalformed, "", 0},
		{"GET /a HTTP/1.1\r\nName : v\r\n\r\n", ErrMalformed, "", 0},
		{"POST /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n", ErrMalformed, "", 0},
		{"POST /a HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", ErrMalformed, "", 0},
		{"POST /a HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\na", ErrMalformed, "", 0},
		{"POST /a HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", ErrTooLarge, "", 0},
		{"GET /" + strings.Repeat("a", MaxHead), ErrTooLarge, "", 0},
	} {
		m, n, err := ParseRequest([]byte(c.in))
		if !errors.Is(err, c.err) || string(m.Body) != c.body || n != c.n {
			t.Errorf("%.40q: %v, body %q, %d bytes", c.in, err, m.Body, n)
		}
	}
}

func TestParseResponse(t *testing.T) {
	for _, c := range []struct {
		in     string
		err    error
		status int
		body   string
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", nil, 200, "{}"},
		{"HTTP/1.1 409\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", nil, 409, "{}"},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}", ErrIncomplete, 200, ""},
		{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxx\r\n{}", ErrMalformed, 200, ""},
		{"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n", ErrTooLarge, 200, ""},
		{"HTTP/1.1 abc OK\r\n\r\n", ErrMalformed, 0, ""},
		{"nonsense\r\n\r\n", ErrMalformed, 0, ""},
	} {
		m, _, err := ParseResponse([]byte(c.in), 50)
		if !errors.Is(err, c.err) || (err == nil && (m.Status != c.status || string(m.Body) != c.body)) {
			t.Errorf("%q: %v, %d %q", c.in, err, m.Status, m.Body)
		}
	}
}

// FuzzParse: no input makes the parsers panic or claim bytes they do not
// have, and what we write is what we read.
func FuzzParse(f *testing.F) {
	f.Add([]byte("POST /submissions HTTP/1.1\r\nHost: node\r\nContent-Length: 2\r\n\r\n{}"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.1\r\n:\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		if _, n, err := ParseResponse(in, 1<<16); err == nil && n > len(in) {
			t.Fatalf("response of %d bytes in %d", n, len(in))
		}
		m, n, err := ParseRequest(in)
		if err != nil {
			return
		}
		if n > len(in) {
			t.Fatalf("request of %d bytes in %d", n, len(in))
		}
		again, _, err := ParseRequest(AppendRequest(nil, m.Method, m.Target, "h", m.Body))
		if err != nil || again.Method != m.Method || again.Target != m.Target || string(again.Body) != string(m.Body) {
			t.Fatalf("%+v became %+v (%v)", m, again, err)
		}
	})
}
