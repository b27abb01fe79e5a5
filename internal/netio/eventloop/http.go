package eventloop

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// The limits of a message.
const (
	MaxHead  = 16 << 10
	MaxBody  = 64 << 10
	maxLine  = 256 // of a chunk's size, with its extensions
	maxLines = 100 // header lines
)

// BadMessage is input that is not HTTP/1.1, or more than we take. Status is
// what a client is told of it.
type BadMessage struct {
	Status int
	Reason string
}

func (e *BadMessage) Error() string { return e.Reason }

func bad(format string, args ...any) error { return &BadMessage{400, fmt.Sprintf(format, args...)} }

// Field is one header line.
type Field struct{ Name, Value string }

// Message is a request's or a response's head.
type Message struct {
	Method, Target string // of a request
	Status         int    // of a response
	Fields         []Field
	Close          bool // the connection ends after it
	Expects        bool // the sender waits for a 100 before the body
}

// Get gives a header's value, or "".
func (m *Message) Get(name string) string {
	for _, f := range m.Fields {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

type state uint8

const (
	inHead    state = iota
	inBody          // left more bytes of it
	inSize          // at a chunk's size line
	inChunk         // left more bytes of a chunk
	afterData       // at the line end after a chunk
	inTrailer
	toEnd // the body ends with the connection
	done
)

// Parser reads one message at a time from the front of a buffer that grows. It
// keeps its place between calls, so that input in small pieces costs no more, and
// takes a chunked body's framing out in place.
type Parser struct {
	Response bool // else it reads requests
	Stream   bool // the body has no limit; Take gives what has come of it

	Message
	state state
	body  int // where the body begins
	end   int // where the body that has been read ends
	at    int // where reading goes on
	left  int
}

// HeadDone says that the head has been read.
func (p *Parser) HeadDone() bool { return p.state > inHead }

// Feed reads on in buf, which begins where it began last time. It returns true
// once the message is whole.
func (p *Parser) Feed(buf []byte) (bool, error) {
	for {
		before, at := p.state, p.at
		if err := p.step(buf); err != nil {
			return false, err
		}
		if p.state == done {
			return true, nil
		}
		if p.state == before && p.at == at {
			return false, nil
		}
	}
}

// Body is the whole body. It lies in the buffer that Feed was given.
func (p *Parser) Body(buf []byte) []byte { return buf[p.body:p.end] }

// Size is how much of the buffer the whole message takes.
func (p *Parser) Size() int { return p.at }

// Next makes the parser ready for the message after this one.
func (p *Parser) Next() { *p = Parser{Response: p.Response, Stream: p.Stream} }

// Ended says whether the end of the connection makes the message whole.
func (p *Parser) Ended() bool { return p.state == toEnd }

// Take moves what has come of a streamed body to the caller: the part of the
// buffer before n is of no more use.
func (p *Parser) Take(buf []byte) (body []byte, n int) {
	body = buf[p.body:p.end]
	n = p.at
	p.body, p.end, p.at = 0, 0, 0
	return body, n
}

func (p *Parser) step(buf []byte) error {
	switch p.state {
	case inHead:
		return p.head(buf)
	case inBody, toEnd, inChunk:
		n := len(buf) - p.at
		if p.state != toEnd {
			n = min(n, p.left)
		}
		if !p.Stream && p.end-p.body+n > MaxBody {
			return &BadMessage{413, "the body is too large"}
		}
		if p.end != p.at {
			copy(buf[p.end:], buf[p.at:p.at+n])
		}
		p.end, p.at, p.left = p.end+n, p.at+n, p.left-n
		switch {
		case p.left > 0 || p.state == toEnd:
		case p.state == inBody:
			p.state = done
		default:
			p.state = afterData
		}
	case inSize, afterData, inTrailer:
		line, ok, err := p.line(buf)
		if !ok || err != nil {
			return err
		}
		return p.framing(line)
	}
	return nil
}

// line takes a line of the chunked framing.
func (p *Parser) line(buf []byte) (line []byte, ok bool, err error) {
	rest := buf[p.at:]
	i := bytes.IndexByte(rest, '\n')
	if i < 0 && len(rest) > maxLine || i > maxLine {
		return nil, false, bad("a line of the chunked framing is too long")
	}
	if i < 0 {
		return nil, false, nil
	}
	p.at += i + 1
	return bytes.TrimSuffix(rest[:i], []byte("\r")), true, nil
}

func (p *Parser) framing(line []byte) error {
	switch p.state {
	case afterData:
		if len(line) > 0 {
			return bad("a chunk is longer than its size")
		}
		p.state = inSize
	case inSize:
		text, _, _ := bytes.Cut(line, []byte(";"))
		text = bytes.TrimRight(text, " \t")
		n, err := strconv.ParseUint(string(text), 16, 31)
		if err != nil || text[0] == '+' {
			return bad("chunk size %q", text)
		}
		if !p.Stream && p.end-p.body+int(n) > MaxBody {
			return &BadMessage{413, "the body is too large"}
		}
		if p.left, p.state = int(n), inChunk; n == 0 {
			p.state = inTrailer
		}
	case inTrailer:
		if p.left++; p.left > maxLines {
			return &BadMessage{431, "too many trailer lines"}
		}
		if len(line) == 0 {
			p.state = done
		}
	}
	return nil
}

var blank = []byte("\r\n\r\n")

func (p *Parser) head(buf []byte) error {
	start := 0
	for bytes.HasPrefix(buf[start:], []byte("\r\n")) {
		start += 2 // some clients send an empty line after a body
	}
	n := bytes.Index(buf[start:], blank)
	if n > MaxHead || n < 0 && len(buf) > MaxHead {
		return &BadMessage{431, "the head is too large"}
	}
	if n < 0 {
		if i := bytes.IndexByte(buf[start:], '\n'); i == 0 || i > 0 && buf[start+i-1] != '\r' {
			return bad("a line ends without a carriage return")
		}
		return nil
	}
	lines := strings.Split(string(buf[start:start+n]), "\r\n")
	p.Message = Message{Fields: make([]Field, 0, len(lines)-1)}
	p.body = start + n + len(blank)
	p.end, p.at = p.body, p.body
	minor, err := p.first(lines[0])
	if err != nil {
		return err
	}
	if len(lines) > maxLines {
		return &BadMessage{431, "too many header lines"}
	}
	return p.fields(lines[1:], minor)
}

// first reads the first line and returns the minor version.
func (p *Parser) first(line string) (minor byte, err error) {
	a, b, ok := strings.Cut(line, " ")
	version := a
	if p.Response {
		code, _, _ := strings.Cut(b, " ")
		p.Status, err = strconv.Atoi(code)
		ok = ok && err == nil && len(code) == 3 && p.Status >= 100
	} else {
		p.Method = a
		p.Target, version, _ = strings.Cut(b, " ")
		ok = ok && token(p.Method) && Plain(p.Target)
	}
	if !ok || !printable(line) || len(version) != 8 || !strings.HasPrefix(version, "HTTP/1.") ||
		version[7] != '0' && version[7] != '1' {
		return 0, bad("the first line is %.60q", line)
	}
	return version[7], nil
}

// fields reads the header lines and settles how the body is framed.
func (p *Parser) fields(lines []string, minor byte) error {
	length, chunked, keep := -1, false, minor == '1'
	for _, line := range lines {
		name, value, ok := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		if !ok || !token(name) || !printable(value) {
			return bad("header line %.60q", line)
		}
		p.Fields = append(p.Fields, Field{name, value})
		switch strings.ToLower(name) {
		case "content-length":
			n, err := strconv.ParseUint(value, 10, 31)
			// Hazard: two lengths let a peer hide a second message in the first's body.
			if err != nil || value[0] == '+' || length >= 0 && length != int(n) {
				return bad("content length %.60q", value)
			}
			length = int(n)
		case "transfer-encoding":
			if !strings.EqualFold(value, "chunked") || chunked {
				return bad("transfer encoding %.60q", value)
			}
			chunked = true
		case "connection":
			for o := range strings.SplitSeq(value, ",") {
				switch strings.ToLower(strings.Trim(o, " \t")) {
				case "close":
					keep = false
				case "keep-alive":
					keep = true
				}
			}
		case "expect":
			p.Expects = strings.EqualFold(value, "100-continue")
		}
	}
	p.Close = !keep
	switch {
	case chunked && length >= 0:
		return bad("both a content length and a transfer encoding")
	case p.Response && (p.Status < 200 || p.Status == 204 || p.Status == 304):
		p.state = done
	case chunked:
		p.state = inSize
	case length > MaxBody && !p.Stream:
		return &BadMessage{413, "the body is too large"}
	case length > 0:
		p.left, p.state = length, inBody
	case length < 0 && p.Response:
		p.state, p.Close = toEnd, true
	default:
		p.state = done
	}
	return nil
}

func token(s string) bool {
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c >= 0x7f || strings.IndexByte("()<>@,;:\\\"/[]?={}", c) >= 0 {
			return false
		}
	}
	return s != ""
}

// Plain says that s is visible ASCII and not empty, as targets and names must be.
func Plain(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return s != ""
}

func printable(s string) bool {
	for i := range len(s) {
		if s[i] < ' ' && s[i] != '\t' || s[i] == 0x7f {
			return false
		}
	}
	return true
}

var reasons = map[int]string{100: "Continue", 200: "OK", 204: "No Content", 400: "Bad Request",
	404: "Not Found", 405: "Method Not Allowed", 409: "Conflict", 413: "Content Too Large",
	431: "Request Header Fields Too Large", 502: "Bad Gateway", 503: "Service Unavailable"}

// AppendResponse writes a response. Extra are whole header lines with their ends.
func AppendResponse(to []byte, status int, closes bool, extra string, body []byte) []byte {
	to = fmt.Appendf(to, "HTTP/1.1 %d %s\r\n%s", status, reasons[status], extra)
	if closes {
		to = append(to, "Connection: close\r\n"...)
	}
	if status != 204 {
		to = fmt.Appendf(to, "Content-Length: %d\r\n", len(body))
	}
	to = append(to, "\r\n"...)
	return append(to, body...)
}

// AppendRequest writes a request, likewise.
func AppendRequest(to []byte, method, target, host, extra string, body []byte) []byte {
	to = fmt.Appendf(to, "%s %s HTTP/1.1\r\nHost: %s\r\n%s", method, target, host, extra)
	if len(body) > 0 || method == "POST" {
		to = fmt.Appendf(to, "Content-Length: %d\r\n", len(body))
	}
	to = append(to, "\r\n"...)
	return append(to, body...)
}
