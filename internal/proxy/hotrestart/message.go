package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"moorstack/balancer"
)

// Version is of the messages. Processes of different ones don't speak to each other:
// the new one then serves beside the old one at a socket of its own.
const Version = 1

// MaxMessage is the longest message that is read.
const MaxMessage = 8 << 20

// Type says which of a message's parts is set.
type Type string

// The messages. A hello is answered with a state, or with a refusal.
const (
	IsHello  Type = "hello"
	IsState  Type = "state"
	IsRefuse Type = "refuse"
	IsTake   Type = "take"
	IsTaken  Type = "taken"
	IsEmpty  Type = "empty"
	IsCall   Type = "call"  // a next hop's call-back, for a branch of the other's
	IsHeard  Type = "heard" // what became of it
	IsBegun  Type = "begun" // ids of transactions that the other must not begin
	IsHeld   Type = "held"  // what the old process has unfinished, by next hop
	IsBan    Type = "ban"   // an operator's word
	IsJob    Type = "job"   // an open job, with its client's connection
)

// Message is a line of JSON.
type Message struct {
	Type    Type     `json:"t"`
	Version int      `json:"v,omitempty"`
	Name    string   `json:"name,omitempty"`   // of a hello: the node's
	Listen  string   `json:"listen,omitempty"` // likewise: the clients' address
	Why     string   `json:"why,omitempty"`
	State   *State   `json:"state,omitempty"`
	IDs     []string `json:"ids,omitempty"` // of taken and begun
	Number  uint64   `json:"n,omitempty"`   // of a call, and of what became of it
	Body    []byte   `json:"body,omitempty"`
	Ban     *Ban     `json:"ban,omitempty"`
	Job     *Job     `json:"job,omitempty"`

	Held map[string]float64 `json:"held,omitempty"`
}

// State is what one process of a node must know of what the other did.
type State struct {
	Generation int64           `json:"generation"`
	Instances  json.RawMessage `json:"instances"` // in discovery's form
	Discovery  string          `json:"discovery"` // its address, as reloads have left it
	Written    string          `json:"written"`   // as the file gave it last
	Known      []string        `json:"known"`     // next hops that were ever listed
	Bans       []Ban           `json:"bans"`
	Module     balancer.Memory `json:"module"`
	// Now is the sender's clock as it sent this; 0: an older process did not say. Times here are by it.
	Now    time.Duration    `json:"now,omitempty"`
	Starts map[string]Start `json:"starts,omitempty"` // of workers, by their names
}

// Start is when a worker started, in its own words and by the sender's clock.
type Start struct {
	Said time.Duration `json:"said"`
	At   time.Duration `json:"at"`
}

// leastStep is the least difference of two processes' clocks that is taken for a step of the wall clock
// between their starts, and not for the time that a message took.
const leastStep = 250 * time.Millisecond

// Rebase turns the times of the state into times of the receiver's clock, which shows now.
//
// Hazard: a process's clock goes on by itself from what the wall clock showed at its start. Where that was
// stepped meanwhile, the two processes' clocks differ for good.
func (s *State) Rebase(now time.Duration) {
	by := now - s.Now
	if s.Now == 0 || by.Abs() < leastStep {
		return
	}
	for i := range s.Bans {
		b := &s.Bans[i]
		b.Since += by
		if b.Ended > 0 {
			b.Ended += by
		}
	}
	for name, start := range s.Starts {
		s.Starts[name] = Start{start.Said, start.At + by}
	}
	shift(&s.Module, by)
}

// shift moves all times of a module's memory by so much. Those that are not set were never, or long ago.
func shift(m *balancer.Memory, by time.Duration) {
	move := func(t *time.Duration) {
		if *t > 0 {
			*t += by
		}
	}
	move(&m.WaitT)
	move(&m.Surveyed)
	for i := range m.Allowances {
		move(&m.Allowances[i].At)
	}
	for id, w := range m.Workers {
		move(&w.WaitT)
		move(&w.IllT)
		move(&w.Since)
		for i := range w.Sent {
			move(&w.Sent[i].At)
		}
		m.Workers[id] = w
	}
}

// Ban is an operators' word on a next hop.
type Ban struct {
	Name  string        `json:"name"`
	Out   bool          `json:"out"`
	Since time.Duration `json:"since"`           // when it was taken out
	Ended time.Duration `json:"ended,omitempty"` // when it was put back
}

// Job is an open job, all of whose attempts were accepted by a next hop.
type Job struct {
	ID    string        `json:"id"`
	Class int           `json:"class"`
	Until time.Duration `json:"until"` // when its client gives up, by the sender's clock
	Left  time.Duration `json:"left"`  // how long that is from when this is sent
	Hops  []string      `json:"hops"`  // that have it
}

// errVersion says that the other process speaks another version.
var errVersion = errors.New("another version")

// Parse reads a message.
func Parse(line []byte) (*Message, error) {
	var m Message
	if err := json.Unmarshal(line, &m); err != nil {
		return nil, fmt.Errorf("a message that can't be read: %w", err)
	}
	if (m.Type == IsHello || m.Type == IsState) && m.Version != Version {
		return nil, fmt.Errorf("%w: %d, and this process speaks %d", errVersion, m.Version, Version)
	}
	if m.Type == IsState && m.State == nil || m.Type == IsBan && m.Ban == nil ||
		m.Type == IsJob && m.Job == nil {
		return nil, fmt.Errorf("a message of type %q without what it is for", m.Type)
	}
	return &m, nil
}

// Append appends the message as a line.
func (m *Message) Append(dst []byte) []byte {
	raw, err := json.Marshal(m)
	if err != nil {
		panic(err) // it holds nothing that has no JSON
	}
	return append(append(dst, raw...), '\n')
}
