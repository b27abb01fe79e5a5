package http1

import (
	"bytes"
	"strconv"
	"strings"
)

// The limits of a message. A message that exceeds them causes a ProtocolError.
const (
	maxHeadBytes      = 16 << 10
	maxBodyBytes      = 64 << 10 // not counting the chunked framing; streamed bodies have no limit
	maxChunkLineBytes = 256      // for a line of the chunked framing: a chunk size with extensions
	maxFieldLines     = 100      // in the head, and again in the trailer
)

// parseState is the part of the message that is parsed next.
type parseState uint8

const (
	parsingHead      parseState = iota
	parsingBody                 // in a body; Parser.remaining bytes of it are missing
	parsingChunkSize            // at a chunk's size line
	parsingChunk                // in a chunk; Parser.remaining bytes of it are missing
	parsingChunkEnd             // at the line ending after a chunk
	parsingTrailer
	parsingToEOF // the body ends with the connection
	parsingDone
)

// Parser parses one message at a time from the front of a growing buffer. It keeps its position between
// calls, so that a body that arrives in small pieces costs no more to parse, and removes the framing of a
// chunked body in place. The zero value parses requests.
type Parser struct {
	ReadsResponses bool // parse responses instead of requests
	StreamsBody    bool // the body has no limit and is read with NextBodyChunk

	Message
	state     parseState
	bodyStart int // offset in the buffer where the body begins
	bodyEnd   int // offset where the part of the body that was parsed so far ends
	position  int // offset where parsing continues
	remaining int // bytes left of the body or the chunk; in a trailer, the number of lines so far
}

// HeadComplete reports whether the head has been parsed.
func (p *Parser) HeadComplete() bool { return p.state > parsingHead }

// Feed continues parsing in buf, which must begin at the same position of the input as in the previous call.
// It reports whether the message is complete. Any error is a *ProtocolError.
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

// Body returns the complete body, a slice of the buffer that was passed to Feed.
func (p *Parser) Body(buf []byte) []byte { return buf[p.bodyStart:p.bodyEnd] }

// MessageSize returns the size in bytes of the complete message in the buffer.
func (p *Parser) MessageSize() int { return p.position }

// Reset prepares the parser for the next message.
func (p *Parser) Reset() { *p = Parser{ReadsResponses: p.ReadsResponses, StreamsBody: p.StreamsBody} }

// CompleteAtEOF reports whether the message is complete if the peer closes the connection now.
func (p *Parser) CompleteAtEOF() bool { return p.state == parsingToEOF }

// NextBodyChunk returns the part of a streamed body that was parsed since the last call. The caller must
// discard the first used bytes of the buffer before it calls Feed again.
func (p *Parser) NextBodyChunk(buf []byte) (body []byte, used int) {
	body = buf[p.bodyStart:p.bodyEnd]
	used = p.position
	p.bodyStart, p.bodyEnd, p.position = 0, 0, 0
	return body, used
}

// step parses the next part of the message from the input received so far.
func (p *Parser) step(buf []byte) error {
	switch p.state {
	case parsingHead:
		return p.parseHead(buf)
	case parsingBody, parsingToEOF, parsingChunk:
		return p.parseBody(buf)
	case parsingChunkSize, parsingChunkEnd, parsingTrailer:
		line, ok, err := p.nextChunkLine(buf)
		if !ok || err != nil {
			return err
		}
		return p.parseChunkFraming(line)
	}
	return nil
}

// parseBody consumes the body bytes in the buffer and moves them directly behind the previous ones, which
// removes the chunked framing between them.
func (p *Parser) parseBody(buf []byte) error {
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

// checkBodySize returns an error if n more bytes would make the body too large.
func (p *Parser) checkBodySize(n int) error {
	if !p.StreamsBody && p.bodyEnd-p.bodyStart+n > maxBodyBytes {
		return &ProtocolError{413, "the body is too large"}
	}
	return nil
}

// nextChunkLine returns the next line of the chunked framing. ok is false if it is still incomplete.
func (p *Parser) nextChunkLine(buf []byte) (line []byte, ok bool, err error) {
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

// parseChunkFraming parses a line of the chunked framing or the trailer.
func (p *Parser) parseChunkFraming(line []byte) error {
	switch p.state {
	case parsingChunkEnd:
		if len(line) > 0 {
			return badRequest("a chunk is longer than its size")
		}
		p.state = parsingChunkSize
	case parsingChunkSize:
		return p.parseChunkSize(line)
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

func (p *Parser) parseChunkSize(line []byte) error {
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

// parseHead parses the head once it is complete.
func (p *Parser) parseHead(buf []byte) error {
	start := 0
	for bytes.HasPrefix(buf[start:], []byte("\r\n")) {
		start += 2 // some clients send an empty line after a body; RFC 9112 says to ignore it
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
	minor, err := p.parseStartLine(lines[0])
	if err != nil {
		return err
	}
	if len(lines) > maxFieldLines {
		return &ProtocolError{431, "too many header lines"}
	}
	return p.parseFieldLines(lines[1:], minor)
}

// parseStartLine parses the request line or status line and returns the digit of the minor version.
func (p *Parser) parseStartLine(line string) (minor byte, err error) {
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

// framing is how the fields of a head delimit the body, and whether the connection stays open afterwards.
type framing struct {
	contentLength int // -1: no Content-Length field
	chunked       bool
	keepAlive     bool
}

// parseFieldLines parses the field lines of the head and determines how the body is read.
func (p *Parser) parseFieldLines(lines []string, minor byte) error {
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
		if err := f.addField(name, value); err != nil {
			return err
		}
	}
	p.Close = !f.keepAlive
	return p.beginBody(f)
}

// addField updates the framing if the field is Content-Length, Transfer-Encoding or Connection.
func (f *framing) addField(name, value string) error {
	switch strings.ToLower(name) {
	case "content-length":
		n, err := strconv.ParseUint(value, 10, 31)
		// Two different lengths would let a peer hide a second message in the body of the first (request
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

// beginBody sets the state for reading the body, or completes a message that has none.
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
