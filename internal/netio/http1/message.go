// Package http1 parses and formats HTTP/1.1 messages, framed as in RFC 9112, in byte slices. It does no I/O:
// package eventloop transfers the bytes, and the caller feeds received input to a Parser.
//
// A Parser must not be used by several goroutines at once. Each connection has its own.
package http1

import (
	"fmt"
	"strings"
)

// ProtocolError reports input that is not valid HTTP/1.1 or exceeds a limit of this package. No further
// message can be read from the connection.
type ProtocolError struct {
	Status int    // status code for the response to a client: 400, 413 or 431
	Reason string // may be sent as the body of the response
}

// Error implements error.
func (e *ProtocolError) Error() string { return e.Reason }

func badRequest(format string, args ...any) error {
	return &ProtocolError{400, fmt.Sprintf(format, args...)}
}

// Field is one field line of a head, without the whitespace around its value.
type Field struct{ Name, Value string }

// Message is the head of a request or response.
type Message struct {
	Method, Target  string // requests only
	Status          int    // responses only
	Fields          []Field
	Close           bool // the connection closes after this message
	ExpectsContinue bool // the sender waits for a 100 (Continue) response before it sends the body
}

// Get returns the value of the first field with the name, compared case-insensitively, or "" if there is
// none.
func (m *Message) Get(name string) string {
	for _, f := range m.Fields {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// IsVisibleASCII reports whether s is non-empty and consists of visible ASCII characters without spaces, as
// request targets and identifiers must.
func IsVisibleASCII(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return s != ""
}

// isToken reports whether s is a token as defined in RFC 9110, such as a method or a field name.
func isToken(s string) bool {
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c >= 0x7f || strings.IndexByte("()<>@,;:\\\"/[]?={}", c) >= 0 {
			return false
		}
	}
	return s != ""
}

// isPrintable reports whether s has no control characters other than tabs.
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

// AppendResponse appends a response to dst and returns the extended slice. fields are complete field lines,
// including their line endings; closes adds "Connection: close".
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

// AppendRequest appends a request to dst and returns the extended slice. fields are complete field lines,
// including their line endings.
func AppendRequest(dst []byte, method, target, host, fields string, body []byte) []byte {
	dst = fmt.Appendf(dst, "%s %s HTTP/1.1\r\nHost: %s\r\n%s", method, target, host, fields)
	if len(body) > 0 || method == "POST" {
		dst = fmt.Appendf(dst, "Content-Length: %d\r\n", len(body))
	}
	dst = append(dst, "\r\n"...)
	return append(dst, body...)
}
