package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"moorstack/internal/frontend/faktory"
)

const (
	secret          = "open sesame"
	reservationTime = time.Second // how long a fetched job is reserved
)

// startFaktoryNode starts a node with the Faktory front and returns that front's address.
func startFaktoryNode(t *testing.T, extra string) (*nodeFixture, string) {
	return startFaktoryNodeWithWorkers(t, 0, extra)
}

// startFaktoryNodeWithWorkers is startFaktoryNode with workers of the platform's front.
func startFaktoryNodeWithWorkers(t *testing.T, workers int, extra string) (*nodeFixture, string) {
	addr, file := freeAddress(t), filepath.Join(t.TempDir(), "faktory.toml")
	check(t, os.WriteFile(file, fmt.Appendf(nil, "listen = %q\npassword = %q\nreserve = %q\n"+
		"reserve_least = \"100ms\"\n%s\n[classes]\nResize = \"quote\"\n",
		addr, secret, reservationTime, extra), 0o600))
	w := startNode(t, workers, completeJob, "-faktory", file)
	waitListening(t, addr) // opened after the platform front's address
	return w, addr
}

// faktoryPeer is the connection of a producer or a worker.
type faktoryPeer struct {
	*client
	wid string
}

// connectFaktory connects and sends HELLO, as a worker if wid is not empty.
func connectFaktory(t *testing.T, addr, wid string, labels ...string) *faktoryPeer {
	t.Helper()
	p := &faktoryPeer{dial(t, addr), wid}
	var hi struct {
		S string
		I int
	}
	check(t, json.Unmarshal([]byte(strings.TrimPrefix(p.reply(), "+HI ")), &hi))
	hello, _ := json.Marshal(map[string]any{"v": 2, "wid": wid, "labels": labels,
		"pwdhash": faktory.HashPassword(secret, hi.S, hi.I)})
	p.expectReply("HELLO "+string(hello), "+OK")
	return p
}

// reply reads a simple string or an error, including its first character, or the text of a bulk string.
func (p *faktoryPeer) reply() string {
	p.t.Helper()
	line, err := p.r.ReadString('\n')
	check(p.t, err)
	line = strings.TrimSuffix(line, "\r\n")
	if !strings.HasPrefix(line, "$") || line == "$-1" {
		return line
	}
	n, err := strconv.Atoi(line[1:])
	check(p.t, err)
	text := make([]byte, n+2)
	_, err = io.ReadFull(p.r, text)
	check(p.t, err)
	return string(text[:n])
}

func (p *faktoryPeer) sendLine(line string) { p.send(line + "\r\n") }

func (p *faktoryPeer) command(line string) string {
	p.t.Helper()
	p.sendLine(line)
	return p.reply()
}

// expectReply sends a command and checks that the reply starts with want.
func (p *faktoryPeer) expectReply(line, want string) string {
	p.t.Helper()
	got := p.command(line)
	if !strings.HasPrefix(got, want) {
		p.t.Fatalf("command %.80q: reply %q, want prefix %q", line, got, want)
	}
	return got
}

func pushCommand(jid, jobType, extraFields string) string {
	return fmt.Sprintf(`PUSH {"jid":%q,"jobtype":%q,"args":[1,"a"]%s}`, jid, jobType, extraFields)
}

func (p *faktoryPeer) ack(jid string) { p.t.Helper(); p.expectReply(`ACK {"jid":"`+jid+`"}`, "+OK") }

func (p *faktoryPeer) state(jid string) string {
	p.t.Helper()
	var s struct{ State string }
	check(p.t, json.Unmarshal([]byte(p.command("TRACK GET "+jid)), &s))
	return s.State
}

func (p *faktoryPeer) waitState(jid, state string) {
	p.t.Helper()
	eventually(p.t, jid+" is "+state, func() bool { return p.state(jid) == state })
}

// fetch sends a FETCH, which makes the worker an endpoint, and gives the front time to read it. The reply is
// read later; a connection's replies arrive in the order of its commands.
func (p *faktoryPeer) fetch(queues string) *faktoryPeer {
	p.sendLine("FETCH " + queues)
	time.Sleep(50 * time.Millisecond)
	return p
}

// expectJob reads the reply to a FETCH, which must be the job, and repeats the FETCH while there is no job.
func (p *faktoryPeer) expectJob(jid string) {
	p.t.Helper()
	for range 5 {
		got := p.reply()
		if strings.Contains(got, `"jid":"`+jid+`"`) {
			return
		}
		if got != "$-1" {
			p.t.Fatalf("fetched %q, want %s", got, jid)
		}
		p.sendLine("FETCH default")
	}
	p.t.Fatalf("%s was not fetched in 5 attempts", jid)
}
