package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"moorstack/internal/frontend/faktory"
)

// referenceServer is a small Faktory server written to the public specification: queues in memory,
// reservations that expire, and no scheduling decisions. It shows what producers and workers may expect of
// any server.
type referenceServer struct {
	mu              sync.Mutex
	password        string
	reservationTime time.Duration // how long a fetched job is reserved
	queues          map[string][]*referenceJob
	held            map[string]*referenceJob
	states          map[string]string
}

type referenceJob struct {
	JID   string          `json:"jid"`
	Type  string          `json:"jobtype"`
	Args  json.RawMessage `json:"args"`
	Queue string          `json:"queue"`
	text  string
	owner string
	until time.Time
}

func startReferenceServer(t *testing.T, password string, reservationTime time.Duration) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(t, err)
	t.Cleanup(func() { l.Close() })
	s := &referenceServer{password: password, reservationTime: reservationTime,
		queues: map[string][]*referenceJob{}, held: map[string]*referenceJob{}, states: map[string]string{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return l.Addr().String()
}

func (s *referenceServer) serve(c net.Conn) {
	defer c.Close()
	const salt, rounds = "55104dc76695721d", 7
	hi := `{"v":2}`
	if s.password != "" {
		hi = fmt.Sprintf(`{"v":2,"s":%q,"i":%d}`, salt, rounds)
	}
	fmt.Fprintf(c, "+HI %s\r\n", hi)
	in, wid, greeted := bufio.NewScanner(c), "", false
	for in.Scan() {
		verb, args, _ := strings.Cut(in.Text(), " ")
		var a struct {
			WID, JID, Pwdhash string
			V                 int
		}
		_ = json.Unmarshal([]byte(args), &a)
		switch {
		case !greeted && (verb != "HELLO" || a.V != 2 ||
			s.password != "" && a.Pwdhash != faktory.HashPassword(s.password, salt, rounds)):
			fmt.Fprint(c, "-ERR bad HELLO\r\n")
			return
		case !greeted:
			greeted, wid = true, a.WID
			fmt.Fprint(c, "+OK\r\n")
		case verb == "FETCH":
			fmt.Fprint(c, s.fetch(wid, strings.Fields(args)))
		case verb == "END":
			fmt.Fprint(c, "+OK\r\n")
			return
		default:
			fmt.Fprint(c, s.command(verb, args, a.JID, wid))
		}
	}
}

func bulk(v any) string {
	text, _ := json.Marshal(v)
	return fmt.Sprintf("$%d\r\n%s\r\n", len(text), text)
}

func (s *referenceServer) command(verb, args, jid, wid string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	switch verb {
	case "PUSH":
		j := &referenceJob{text: args, Queue: "default"}
		if json.Unmarshal([]byte(args), j) != nil || len(j.JID) < 8 || j.Type == "" || len(j.Args) == 0 {
			return "-ERR bad job\r\n"
		}
		if s.states[j.JID] == "" { // a repeated jid is the same job
			s.queues[j.Queue] = append(s.queues[j.Queue], j)
			s.states[j.JID] = "enqueued"
		}
	case "ACK", "FAIL":
		j := s.held[jid]
		switch {
		case jid == "":
			return "-ERR no jid\r\n"
		case j != nil && j.owner == wid:
			delete(s.held, jid)
			s.states[jid] = map[string]string{"ACK": "success", "FAIL": "failed"}[verb]
		case verb == "FAIL":
			return "-ERR job not found\r\n"
		}
	case "BEAT":
	case "INFO":
		return bulk(map[string]any{"faktory": map[string]any{}, "server": map[string]any{}})
	case "TRACK":
		if id, ok := strings.CutPrefix(args, "GET "); ok {
			state := s.states[id]
			if state == "" {
				state = "unknown"
			}
			return bulk(map[string]string{"jid": id, "state": state})
		}
		return "-ERR\r\n"
	default:
		return "-ERR unknown command\r\n"
	}
	return "+OK\r\n"
}

// expire returns jobs whose reservation has ended to their queues.
func (s *referenceServer) expire() {
	for jid, j := range s.held {
		if time.Now().After(j.until) {
			delete(s.held, jid)
			s.queues[j.Queue] = append(s.queues[j.Queue], j)
			s.states[jid] = "enqueued"
		}
	}
}

func (s *referenceServer) fetch(wid string, queues []string) string {
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		s.mu.Lock()
		s.expire()
		for _, q := range queues {
			if waiting := s.queues[q]; len(waiting) > 0 {
				j := waiting[0]
				s.queues[q] = waiting[1:]
				j.owner, j.until = wid, time.Now().Add(s.reservationTime)
				s.held[j.JID], s.states[j.JID] = j, "working"
				s.mu.Unlock()
				return fmt.Sprintf("$%d\r\n%s\r\n", len(j.text), j.text)
			}
		}
		s.mu.Unlock()
	}
	return "$-1\r\n"
}
