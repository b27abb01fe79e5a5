// Package http1 reads and writes HTTP/1.1 messages as RFC 9112 frames them, from and to byte slices. It
// knows no socket: package eventloop carries the bytes, and the caller feeds the Parser what has come.
//
// Nothing here is safe for use by several goroutines at once; each connection has a Parser of its own.
package http1

import (
	"fmt"
	"strings"
)

// ProtocolError is input that is not HTTP/1.1, or exceeds a limit of this package. The connection can't be
// read on after it.
type ProtocolError struct {
	Status int    // of the response to a client: 400, 413 or 431
	Reason string // what is wrong; it may be sent as the response's body
}

// Error implements error.
func (e *ProtocolError) Error() string { return e.Reason }

func badRequest(format string, args ...any) error {
	return &ProtocolError{400, fmt.Sprintf(format, args...)}
}

// Field is one field line of a head, without the whitespace around its value.
type Field struct{ Name, Value string }

// Message is the head of a request or of a response.
type Message struct {
	Method, Target  string // of a request
	Status          int    // of a response
	Fields          []Field
	Close           bool // the connection ends after this message
	ExpectsContinue bool // the sender waits for a 100 response before it sends the body
}

// Get returns the value of the first field with that name, in any case, or "".
func (m *Message) Get(name string) string {
	for _, f := range m.Fields {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// IsVisibleASCII reports whether s is not empty and holds visible ASCII characters only, no blanks, as
// request targets and identifiers must.
func IsVisibleASCII(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return s != ""
}

// isToken reports whether s is a token of RFC 9110: a method or a field name.
func isToken(s string) bool {
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c >= 0x7f || strings.IndexByte("()<>@,;:\\\"/[]?={}", c) >= 0 {
			return false
		}
	}
	return s != ""
}

// isPrintable reports whether s holds no control characters but tabs.
func isPrintable(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' && s[i] != '\t' || s[i] == 0x7f {
			return false
		}
	}
	return true
}

var reasonPhrases = map[int]string{100: "Continue", 200: "OK", 204: "No Content", 400: "Bad Request",
	404: "Not Found", 405: "Method Not Allowed", 409: "Conflict", 413: "Content Too Large",
	431: "Request Header Fields Too Large", 502: "Bad Gateway", 503: "Service Unavailable"}

// AppendResponse appends a response to dst and returns it. Fields are whole field lines with their line
// ends; closes adds Connection: close.
func AppendResponse(dst []byte, status int, closes bool, fields string, body []byte) []byte {
	dst = fmt.Appendf(dst, "HTTP/1.1 %d %s\r\n%s", status, reasonPhrases[status], fields)
	if closes {
		dst = append(dst, "Connection: close\r\n"...)
	}
	if status != 204 {
		dst = fmt.Appendf(dst, "Content-Length: %d\r\n", len(body))
	}
	dst = append(dst, "\r\n"...)
	return append(dst, body...)
}

// AppendRequest appends a request to dst and returns it. Fields are whole field lines with their line ends.
func AppendRequest(dst []byte, method, target, host, fields string, body []byte) []byte {
	dst = fmt.Appendf(dst, "%s %s HTTP/1.1\r\nHost: %s\r\n%s", method, target, host, fields)
	if len(body) > 0 || method == "POST" {
		dst = fmt.Appendf(dst, "Content-Length: %d\r\n", len(body))
	}
	dst = append(dst, "\r\n"...)
	return append(dst, body...)
}
