package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// faktoryPeer is the connection of a producer or a worker that uses the Faktory work protocol.
type faktoryPeer struct {
	conn net.Conn
	in   *bufio.Reader
}

// errNoJob is returned by fetch if there is no job.
var errNoJob = errors.New("no job")

// dialFaktory connects and sends HELLO, as a worker if wid is not empty.
func dialFaktory(address, wid string, labels ...string) (*faktoryPeer, error) {
	c, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	p := &faktoryPeer{c, bufio.NewReader(c)}
	if _, err := p.reply(); err != nil { // +HI
		return nil, err
	}
	hello := map[string]any{"v": 2}
	if wid != "" {
		hello["wid"], hello["labels"] = wid, labels
	}
	text, _ := json.Marshal(hello)
	_, err = p.command("HELLO " + string(text))
	return p, err
}

// reply reads a reply: the text of a simple string or of a bulk string.
func (p *faktoryPeer) reply() (string, error) {
	line, err := p.in.ReadString('\n')
	if err != nil {
		return "", err
	}
	line = strings.TrimSuffix(line, "\r\n")
	switch {
	case line == "$-1":
		return "", errNoJob
	case strings.HasPrefix(line, "-"):
		return "", errors.New(line)
	case !strings.HasPrefix(line, "$"):
		return line, nil
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil {
		return "", err
	}
	text := make([]byte, n+2)
	if _, err = io.ReadFull(p.in, text); err != nil {
		return "", err
	}
	return string(text[:n]), nil
}

func (p *faktoryPeer) command(line string) (string, error) {
	if _, err := io.WriteString(p.conn, line+"\r\n"); err != nil {
		return "", err
	}
	return p.reply()
}

// push pushes a job of a class; deadline and work are in seconds, and a deadline of 0 is the class's own.
func (p *faktoryPeer) push(jid, class string, deadline, work float64) error {
	custom := map[string]any{"cost": work}
	if deadline > 0 {
		custom["deadline"] = deadline
	}
	text, _ := json.Marshal(map[string]any{"jid": jid, "jobtype": class, "args": []float64{work},
		"custom": custom})
	_, err := p.command("PUSH " + string(text))
	return err
}

// fetch waits for a job, two seconds at most, and returns its jid and how long it is to run.
func (p *faktoryPeer) fetch() (jid string, work time.Duration, err error) {
	text, err := p.command("FETCH default")
	if err != nil {
		return "", 0, err
	}
	var job map[string]any
	if err := json.Unmarshal([]byte(text), &job); err != nil {
		return "", 0, err
	}
	args, _ := job["args"].([]any)
	if len(args) == 0 {
		return "", 0, fmt.Errorf("unexpected job %q", text)
	}
	seconds, _ := args[0].(float64)
	jid, _ = job["jid"].(string)
	return jid, time.Duration(seconds * float64(time.Second)), nil
}

func (p *faktoryPeer) ack(jid string) error {
	_, err := p.command(fmt.Sprintf(`ACK {"jid":%q}`, jid))
	return err
}

// state returns what TRACK GET tells of a job.
func (p *faktoryPeer) state(jid string) string {
	text, err := p.command("TRACK GET " + jid)
	if err != nil {
		return err.Error()
	}
	return text
}

// reset closes the connection with a reset.
func (p *faktoryPeer) reset() {
	if c, ok := p.conn.(*net.TCPConn); ok {
		_ = c.SetLinger(0)
	}
	_ = p.conn.Close()
}

// writeFaktory writes the file of the Faktory front, with the values of deploy/faktory.toml, and returns its
// path and the front's address.
func (r *rig) writeFaktory() (path, address string) {
	address = r.freeAddress()
	return r.write("faktory.toml", fmt.Sprintf(`listen = %q
password = ""
connections = 256
line_bytes = 65536
jobs = 10000
bytes = 33554432
keep = "10m"
silence = "60s"
reserve = "30m"
reserve_least = "60s"
queue = 25
[classes]
`, address)), address
}
