package http1

import (
	"bytes"
	"strconv"
	"strings"
)

// The limits of a message. A message beyond them is a ProtocolError.
const (
	maxHeadBytes      = 16 << 10
	maxBodyBytes      = 64 << 10 // without the chunked framing; of a streamed body there is no limit
	maxChunkLineBytes = 256      // of a chunk's size, with its extensions
	maxFieldLines     = 100      // in the head, and in the trailer
)

// parseState is the part of the message that is read next.
type parseState uint8

const (
	parsingHead      parseState = iota
	parsingBody                 // remaining more bytes of it
	parsingChunkSize            // at a chunk's size line
	parsingChunk                // remaining more bytes of a chunk
	parsingChunkEnd             // at the line end after a chunk
	parsingTrailer
	parsingToEOF // the body ends with the connection
	parsingDone
)

// Parser reads one message at a time from the front of a buffer that grows. It keeps its position between
// calls, so that input in small pieces costs no more, and removes the framing of a chunked body in place.
// The zero value reads requests.
type Parser struct {
	ReadsResponses bool // else it reads requests
	StreamsBody    bool // the body has no limit; NextBodyChunk returns what has come of it

	Message
	state     parseState
	bodyStart int // offset in the buffer where the body begins
	bodyEnd   int // offset where the body that has been read ends
	position  int // offset where parsing goes on
	remaining int // bytes of the body, or of the chunk, still to come; in a trailer, its lines so far
}

// HeadComplete reports whether the head has been read.
func (p *Parser) HeadComplete() bool { return p.state > parsingHead }

// Feed parses on in buf, which must begin where it began at the last call. It reports whether the message is
// complete. An error is a *ProtocolError.
func (p *Parser) Feed(buf []byte) (complete bool, err error) {
	for {
		state, position := p.state, p.position
		if err := p.step(buf); err != nil {
			return false, err
		}
		if p.state == parsingDone {
			return true, nil
		}
		if p.state == state && p.position == position {
			return false, nil
		}
	}
}

// Body returns the whole body. It lies in the buffer that Feed was given.
func (p *Parser) Body(buf []byte) []byte { return buf[p.bodyStart:p.bodyEnd] }

// MessageSize returns how many bytes of the buffer the whole message takes.
func (p *Parser) MessageSize() int { return p.position }

// Reset makes the parser ready for the message after this one.
func (p *Parser) Reset() { *p = Parser{ReadsResponses: p.ReadsResponses, StreamsBody: p.StreamsBody} }

// CompleteAtEOF reports whether the end of the connection completes the message.
func (p *Parser) CompleteAtEOF() bool { return p.state == parsingToEOF }

// NextBodyChunk returns what has come of a streamed body since the last call. The caller discards the first
// used bytes of the buffer before the next call of Feed.
func (p *Parser) NextBodyChunk(buf []byte) (body []byte, used int) {
	body = buf[p.bodyStart:p.bodyEnd]
	used = p.position
	p.bodyStart, p.bodyEnd, p.position = 0, 0, 0
	return body, used
}

// step parses one part of the message, if it has come.
func (p *Parser) step(buf []byte) error {
	switch p.state {
	case parsingHead:
		return p.head(buf)
	case parsingBody, parsingToEOF, parsingChunk:
		return p.bodyBytes(buf)
	case parsingChunkSize, parsingChunkEnd, parsingTrailer:
		line, ok, err := p.chunkLine(buf)
		if !ok || err != nil {
			return err
		}
		return p.chunkFraming(line)
	}
	return nil
}

// bodyBytes takes what has come of the body, moved to where the body that was read before ends.
func (p *Parser) bodyBytes(buf []byte) error {
	n := len(buf) - p.position
	if p.state != parsingToEOF {
		n = min(n, p.remaining)
	}
	if err := p.checkBodySize(n); err != nil {
		return err
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
	return nil
}

// checkBodySize fails if n more bytes make the body too large.
func (p *Parser) checkBodySize(n int) error {
	if !p.StreamsBody && p.bodyEnd-p.bodyStart+n > maxBodyBytes {
		return &ProtocolError{413, "the body is too large"}
	}
	return nil
}

// chunkLine returns the next line of the chunked framing, if it has come whole.
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

// chunkFraming interprets a line of the chunked framing.
func (p *Parser) chunkFraming(line []byte) error {
	switch p.state {
	case parsingChunkEnd:
		if len(line) > 0 {
			return badRequest("a chunk is longer than its size")
		}
		p.state = parsingChunkSize
	case parsingChunkSize:
		return p.chunkSize(line)
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

func (p *Parser) chunkSize(line []byte) error {
	text, _, _ := bytes.Cut(line, []byte(";"))
	text = bytes.TrimRight(text, " \t")
	n, err := strconv.ParseUint(string(text), 16, 31)
	if err != nil || text[0] == '+' {
		return badRequest("chunk size %q", text)
	}
	if err := p.checkBodySize(int(n)); err != nil {
		return err
	}
	if p.remaining, p.state = int(n), parsingChunk; n == 0 {
		p.state = parsingTrailer
	}
	return nil
}

var headEnd = []byte("\r\n\r\n")

// head parses the head, once it has come whole.
func (p *Parser) head(buf []byte) error {
	start := 0
	for bytes.HasPrefix(buf[start:], []byte("\r\n")) {
		start += 2 // some clients send an empty line after a body
	}
	n := bytes.Index(buf[start:], headEnd)
	if n > maxHeadBytes || n < 0 && len(buf) > maxHeadBytes {
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

// startLine parses the first line and returns the digit of the minor version.
func (p *Parser) startLine(line string) (minor byte, err error) {
	first, rest, ok := strings.Cut(line, " ")
	version := first
	if p.ReadsResponses {
		code, _, _ := strings.Cut(rest, " ")
		p.Status, err = strconv.Atoi(code)
		ok = ok && err == nil && len(code) == 3 && p.Status >= 100
	} else {
		p.Method = first
		p.Target, version, _ = strings.Cut(rest, " ")
		ok = ok && isToken(p.Method) && IsVisibleASCII(p.Target)
	}
	if !ok || !isPrintable(line) || len(version) != 8 || !strings.HasPrefix(version, "HTTP/1.") ||
		version[7] != '0' && version[7] != '1' {
		return 0, badRequest("the first line is %.60q", line)
	}
	return version[7], nil
}

// framing is by what a head's fields frame the message, and whether the connection ends after it.
type framing struct {
	contentLength int // -1: not given
	chunked       bool
	keepAlive     bool
}

// fieldLines parses the field lines of the head, and chooses how the body is read.
func (p *Parser) fieldLines(lines []string, minor byte) error {
	f := framing{contentLength: -1, keepAlive: minor == '1'}
	for _, line := range lines {
		name, value, ok := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		if !ok || !isToken(name) || !isPrintable(value) {
			return badRequest("header line %.60q", line)
		}
		p.Fields = append(p.Fields, Field{name, value})
		if strings.EqualFold(name, "Expect") {
			p.ExpectsContinue = strings.EqualFold(value, "100-continue")
		}
		if err := f.observe(name, value); err != nil {
			return err
		}
	}
	p.Close = !f.keepAlive
	return p.beginBody(f)
}

// observe takes in a field, if it is one of the framing.
func (f *framing) observe(name, value string) error {
	switch strings.ToLower(name) {
	case "content-length":
		n, err := strconv.ParseUint(value, 10, 31)
		// Hazard: two different lengths let a peer hide a second message in the body of the first (request
		// smuggling).
		if err != nil || value[0] == '+' || f.contentLength >= 0 && f.contentLength != int(n) {
			return badRequest("content length %.60q", value)
		}
		f.contentLength = int(n)
	case "transfer-encoding":
		if !strings.EqualFold(value, "chunked") || f.chunked {
			return badRequest("transfer encoding %.60q", value)
		}
		f.chunked = true
	case "connection":
		for option := range strings.SplitSeq(value, ",") {
			switch strings.ToLower(strings.Trim(option, " \t")) {
			case "close":
				f.keepAlive = false
			case "keep-alive":
				f.keepAlive = true
			}
		}
	}
	return nil
}

// beginBody sets the state in which the body is read.
func (p *Parser) beginBody(f framing) error {
	switch {
	case f.chunked && f.contentLength >= 0:
		return badRequest("both a content length and a transfer encoding")
	case p.ReadsResponses && (p.Status < 200 || p.Status == 204 || p.Status == 304):
		p.state = parsingDone
	case f.chunked:
		p.state = parsingChunkSize
	case f.contentLength > maxBodyBytes && !p.StreamsBody:
		return &ProtocolError{413, "the body is too large"}
	case f.contentLength > 0:
		p.remaining, p.state = f.contentLength, parsingBody
	case f.contentLength < 0 && p.ReadsResponses:
		p.state, p.Close = parsingToEOF, true
	default:
		p.state = parsingDone
	}
	return nil
}
