package eventloop

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
)

// The limits of a message.
const (
	MaxHeadBytes      = 16 << 10
	MaxBodyBytes      = 64 << 10
	maxChunkLineBytes = 256 // of a chunk's size, with its extensions
	maxFieldLines     = 100 // header lines
)

// ProtocolError is input that is not HTTP/1.1, or more than we take. Status is
// what a client is told of it.
type ProtocolError struct {
	Status int
	Reason string
}

func (e *ProtocolError) Error() string { return e.Reason }

func badRequest(format string, args ...any) error {
	return &ProtocolError{400, fmt.Sprintf(format, args...)}
}

// Field is one header line.
type Field struct{ Name, Value string }

// Message is a request's or a response's head.
type Message struct {
	Method, Target  string // of a request
	Status          int    // of a response
	Fields          []Field
	Close           bool // the connection ends after it
	ExpectsContinue bool // the sender waits for a 100 before the body
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

type parseState uint8

const (
	parsingHead      parseState = iota
	parsingBody                 // left more bytes of it
	parsingChunkSize            // at a chunk's size line
	parsingChunk                // left more bytes of a chunk
	parsingChunkEnd             // at the line end after a chunk
	parsingTrailer
	parsingToEOF // the body ends with the connection
	parsingDone
)

// Parser reads one message at a time from the front of a buffer that grows. It
// keeps its place between calls, so that input in small pieces costs no more, and
// takes a chunked body's framing out in place.
type Parser struct {
	ReadsResponses bool // else it reads requests
	StreamsBody    bool // the body has no limit; Take gives what has come of it

	Message
	state     parseState
	bodyStart int // where the body begins
	bodyEnd   int // where the body that has been read ends
	position  int // where reading goes on
	remaining int
}

// HeadDone says that the head has been read.
func (p *Parser) HeadDone() bool { return p.state > parsingHead }

// Feed reads on in buf, which begins where it began last time. It returns true
// once the message is whole.
func (p *Parser) Feed(buf []byte) (bool, error) {
	for {
		before, at := p.state, p.position
		if err := p.step(buf); err != nil {
			return false, err
		}
		if p.state == parsingDone {
			return true, nil
		}
		if p.state == before && p.position == at {
			return false, nil
		}
	}
}

// Body is the whole body. It lies in the buffer that Feed was given.
func (p *Parser) Body(buf []byte) []byte { return buf[p.bodyStart:p.bodyEnd] }

// MessageSize is how much of the buffer the whole message takes.
func (p *Parser) MessageSize() int { return p.position }

// Reset makes the parser ready for the message after this one.
func (p *Parser) Reset() { *p = Parser{ReadsResponses: p.ReadsResponses, StreamsBody: p.StreamsBody} }

// CompleteAtEOF says whether the end of the connection makes the message whole.
func (p *Parser) CompleteAtEOF() bool { return p.state == parsingToEOF }

// TakeBody moves what has come of a streamed body to the caller: the part of the
// buffer before n is of no more use.
func (p *Parser) TakeBody(buf []byte) (body []byte, n int) {
	body = buf[p.bodyStart:p.bodyEnd]
	n = p.position
	p.bodyStart, p.bodyEnd, p.position = 0, 0, 0
	return body, n
}

func (p *Parser) step(buf []byte) error {
	switch p.state {
	case parsingHead:
		return p.head(buf)
	case parsingBody, parsingToEOF, parsingChunk:
		n := len(buf) - p.position
		if p.state != parsingToEOF {
			n = min(n, p.remaining)
		}
		if !p.StreamsBody && p.bodyEnd-p.bodyStart+n > MaxBodyBytes {
			return &ProtocolError{413, "the body is too large"}
		}
		if p.bodyEnd != p.position {
			copy(buf[p.bodyEnd:], buf[p.position:p.position+n])
		}
		p.bodyEnd, p.position, p.remaining = p.bodyEnd+n, p.position+n, p.remaining-n
		switch {
		case p.remaining > 0 || p.state == parsingToEOF:
		case p.state == parsingBody:
			p.state = parsingDone
		default:
			p.state = parsingChunkEnd
		}
	case parsingChunkSize, parsingChunkEnd, parsingTrailer:
		line, ok, err := p.chunkLine(buf)
		if !ok || err != nil {
			return err
		}
		return p.chunkFraming(line)
	}
	return nil
}

// chunkLine takes a line of the chunked framing.
func (p *Parser) chunkLine(buf []byte) (line []byte, ok bool, err error) {
	rest := buf[p.position:]
	i := bytes.IndexByte(rest, '\n')
	if i < 0 && len(rest) > maxChunkLineBytes || i > maxChunkLineBytes {
		return nil, false, badRequest("a line of the chunked framing is too long")
	}
	if i < 0 {
		return nil, false, nil
	}
	p.position += i + 1
	return bytes.TrimSuffix(rest[:i], []byte("\r")), true, nil
}

func (p *Parser) chunkFraming(line []byte) error {
	switch p.state {
	case parsingChunkEnd:
		if len(line) > 0 {
			return badRequest("a chunk is longer than its size")
		}
		p.state = parsingChunkSize
	case parsingChunkSize:
		text, _, _ := bytes.Cut(line, []byte(";"))
		text = bytes.TrimRight(text, " \t")
		n, err := strconv.ParseUint(string(text), 16, 31)
		if err != nil || text[0] == '+' {
			return badRequest("chunk size %q", text)
		}
		if !p.StreamsBody && p.bodyEnd-p.bodyStart+int(n) > MaxBodyBytes {
			return &ProtocolError{413, "the body is too large"}
		}
		if p.remaining, p.state = int(n), parsingChunk; n == 0 {
			p.state = parsingTrailer
		}
	case parsingTrailer:
		if p.remaining++; p.remaining > maxFieldLines {
			return &ProtocolError{431, "too many trailer lines"}
		}
		if len(line) == 0 {
			p.state = parsingDone
		}
	}
	return nil
}

var headEnd = []byte("\r\n\r\n")

func (p *Parser) head(buf []byte) error {
	start := 0
	for bytes.HasPrefix(buf[start:], []byte("\r\n")) {
		start += 2 // some clients send an empty line after a body
	}
	n := bytes.Index(buf[start:], headEnd)
	if n > MaxHeadBytes || n < 0 && len(buf) > MaxHeadBytes {
		return &ProtocolError{431, "the head is too large"}
	}
	if n < 0 {
		if i := bytes.IndexByte(buf[start:], '\n'); i == 0 || i > 0 && buf[start+i-1] != '\r' {
			return badRequest("a line ends without a carriage return")
		}
		return nil
	}
	lines := strings.Split(string(buf[start:start+n]), "\r\n")
	p.Message = Message{Fields: make([]Field, 0, len(lines)-1)}
	p.bodyStart = start + n + len(headEnd)
	p.bodyEnd, p.position = p.bodyStart, p.bodyStart
	minor, err := p.startLine(lines[0])
	if err != nil {
		return err
	}
	if len(lines) > maxFieldLines {
		return &ProtocolError{431, "too many header lines"}
	}
	return p.fieldLines(lines[1:], minor)
}

// startLine reads the first line and returns the minor version.
func (p *Parser) startLine(line string) (minor byte, err error) {
	a, b, ok := strings.Cut(line, " ")
	version := a
	if p.ReadsResponses {
		code, _, _ := strings.Cut(b, " ")
		p.Status, err = strconv.Atoi(code)
		ok = ok && err == nil && len(code) == 3 && p.Status >= 100
	} else {
		p.Method = a
		p.Target, version, _ = strings.Cut(b, " ")
		ok = ok && isToken(p.Method) && IsVisibleASCII(p.Target)
	}
	if !ok || !isPrintable(line) || len(version) != 8 || !strings.HasPrefix(version, "HTTP/1.") ||
		version[7] != '0' && version[7] != '1' {
		return 0, badRequest("the first line is %.60q", line)
	}
	return version[7], nil
}

// fieldLines reads the header lines and settles how the body is framed.
func (p *Parser) fieldLines(lines []string, minor byte) error {
	length, chunked, keep := -1, false, minor == '1'
	for _, line := range lines {
		name, value, ok := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		if !ok || !isToken(name) || !isPrintable(value) {
			return badRequest("header line %.60q", line)
		}
		p.Fields = append(p.Fields, Field{name, value})
		switch strings.ToLower(name) {
		case "content-length":
			n, err := strconv.ParseUint(value, 10, 31)
			// Hazard: two lengths let a peer hide a second message in the first's body.
			if err != nil || value[0] == '+' || length >= 0 && length != int(n) {
				return badRequest("content length %.60q", value)
			}
			length = int(n)
		case "transfer-encoding":
			if !strings.EqualFold(value, "chunked") || chunked {
				return badRequest("transfer encoding %.60q", value)
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
			p.ExpectsContinue = strings.EqualFold(value, "100-continue")
		}
	}
	p.Close = !keep
	switch {
	case chunked && length >= 0:
		return badRequest("both a content length and a transfer encoding")
	case p.ReadsResponses && (p.Status < 200 || p.Status == 204 || p.Status == 304):
		p.state = parsingDone
	case chunked:
		p.state = parsingChunkSize
	case length > MaxBodyBytes && !p.StreamsBody:
		return &ProtocolError{413, "the body is too large"}
	case length > 0:
		p.remaining, p.state = length, parsingBody
	case length < 0 && p.ReadsResponses:
		p.state, p.Close = parsingToEOF, true
	default:
		p.state = parsingDone
	}
	return nil
}

func isToken(s string) bool {
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c >= 0x7f || strings.IndexByte("()<>@,;:\\\"/[]?={}", c) >= 0 {
			return false
		}
	}
	return s != ""
}

// IsVisibleASCII says that s is visible ASCII and not empty, as targets and names must be.
func IsVisibleASCII(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f {
			return false
		}
	}
	return s != ""
}

func isPrintable(s string) bool {
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
