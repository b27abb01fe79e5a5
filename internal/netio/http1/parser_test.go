package http1

import (
	"fmt"
	"strings"
	"testing"
)

// corpus has well-formed and malformed messages.
var corpus = []struct {
	response bool
	text     string
}{
	{false, "GET /_health HTTP/1.1\r\n\r\n"},
	{false, "POST /api?x=1 HTTP/1.1\r\nHost: a\r\nX-Request-ID: 7\r\nContent-Length: 5\r\n\r\nhello"},
	{false, "POST /v1/job-events HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nT: 1\r\n\r\n"},
	{false, "POST / HTTP/1.1\r\nConnection: close\r\nExpect: 100-continue\r\nContent-Length: 0\r\n\r\n"},
	{true, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"},
	{true, "HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 2\r\n\r\nno"},
	{true, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\n{\"a\":1\r\n1\r\n}\r\n0\r\n\r\n"},
	{true, "HTTP/1.1 204 No Content\r\n\r\n"},
	{false, "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n"},
	{false, "POST / HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"},
	{false, "GET / HTTP/1.1\nHost: a\n\n"},
	{true, "HTTP/1.1 abc\r\n\r\n"},
}

// parseResult returns a description of the parsed message, or of the error, for an input received in pieces.
func parseResult(response bool, pieces ...string) string {
	p := Parser{ReadsResponses: response}
	var buf []byte
	for _, piece := range pieces {
		buf = append(buf, piece...)
		complete, err := p.Feed(buf)
		if err != nil {
			return "bad: " + err.Error()
		}
		if complete {
			return fmt.Sprintf("%s %s %d close %v expects %v %v body %q, %d unread", p.Method, p.Target,
				p.Status, p.Close, p.ExpectsContinue, p.Fields, p.Body(buf), len(buf)-p.MessageSize())
		}
	}
	return "incomplete"
}

// The result of parsing must not depend on how the input is split into reads.
func TestMessageParsesAlikeInAnyPieces(t *testing.T) {
	for _, c := range corpus {
		want := parseResult(c.response, c.text)
		if want == "incomplete" {
			t.Errorf("%q: incomplete", c.text)
		}
		for i := 1; i < len(c.text); i++ {
			if got := parseResult(c.response, c.text[:i], c.text[i:]); got != want {
				t.Errorf("%q cut at %d: %s, want %s", c.text, i, got, want)
			}
			for j := i + 1; j < len(c.text); j++ {
				if got := parseResult(c.response, c.text[:i], c.text[i:j], c.text[j:]); got != want {
					t.Fatalf("%q cut at %d and %d: %s, want %s", c.text, i, j, got, want)
				}
			}
		}
		if got := parseResult(c.response, strings.Split(c.text, "")...); got != want {
			t.Errorf("%q byte by byte: %s, want %s", c.text, got, want)
		}
	}
}
