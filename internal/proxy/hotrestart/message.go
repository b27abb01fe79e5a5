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

// MaxMessageBytes is the longest message that is read.
const MaxMessageBytes = 8 << 20

// MessageType says which of a message's parts is set.
type MessageType string

// The messages. A hello is answered with a state, or with a refusal.
const (
	TypeHello           MessageType = "hello"
	TypeState           MessageType = "state"
	TypeRejected        MessageType = "refuse"
	TypeChildServes     MessageType = "take"
	TypeParentReleased  MessageType = "taken"
	TypeParentDrained   MessageType = "empty"
	TypeCallBack        MessageType = "call"  // a next hop's call-back, for a branch of the other's
	TypeCallBackHandled MessageType = "heard" // what became of it
	TypeRequestsBegun   MessageType = "begun" // ids of transactions that the other must not begin
	TypeInFlight        MessageType = "held"  // what the old process has unfinished, by next hop
	TypeMaintenance     MessageType = "ban"   // an operator's word
	TypeMigratedRequest MessageType = "job"   // an open job, with its client's connection
)

// Message is a line of JSON.
type Message struct {
	Type           MessageType      `json:"t"`
	Version        int              `json:"v,omitempty"`
	Node           string           `json:"name,omitempty"`   // of a hello: the node's
	ListenAddress  string           `json:"listen,omitempty"` // likewise: the clients' address
	Reason         string           `json:"why,omitempty"`
	State          *State           `json:"state,omitempty"`
	RequestIDs     []string         `json:"ids,omitempty"` // of taken and begun
	CallBackNumber uint64           `json:"n,omitempty"`   // of a call, and of what became of it
	Body           []byte           `json:"body,omitempty"`
	Maintenance    *Maintenance     `json:"ban,omitempty"`
	Request        *MigratedRequest `json:"job,omitempty"`

	InFlight map[string]float64 `json:"held,omitempty"`
}

// State is what one process of a node must know of what the other did.
type State struct {
	Generation          int64                 `json:"generation"`
	Instances           json.RawMessage       `json:"instances"` // in discovery's form
	DiscoveryAddress    string                `json:"discovery"` // its address, as reloads have left it
	ConfiguredDiscovery string                `json:"written"`   // as the file gave it last
	KnownEndpoints      []string              `json:"known"`     // next hops that were ever listed
	Maintenance         []Maintenance         `json:"bans"`
	Balancer            balancer.LearnedState `json:"module"`
	// SentAt is the sender's clock as it sent this; 0: an older process did not say. Times here are by it.
	SentAt       time.Duration          `json:"now,omitempty"`
	WorkerStarts map[string]WorkerStart `json:"starts,omitempty"` // of workers, by their names
}

// WorkerStart is when a worker started, in its own words and by the sender's clock.
type WorkerStart struct {
	Reported time.Duration `json:"said"`
	At       time.Duration `json:"at"`
}

// minClockStep is the least difference of two processes' clocks that is taken for a step of the wall clock
// between their starts, and not for the time that a message took.
const minClockStep = 250 * time.Millisecond

// RebaseTimes turns the times of the state into times of the receiver's clock, which shows now.
//
// Hazard: a process's clock goes on by itself from what the wall clock showed at its start. Where that was
// stepped meanwhile, the two processes' clocks differ for good.
func (s *State) RebaseTimes(now time.Duration) {
	by := now - s.SentAt
	if s.SentAt == 0 || by.Abs() < minClockStep {
		return
	}
	for i := range s.Maintenance {
		b := &s.Maintenance[i]
		b.StartedAt += by
		if b.EndedAt > 0 {
			b.EndedAt += by
		}
	}
	for name, start := range s.WorkerStarts {
		s.WorkerStarts[name] = WorkerStart{start.Reported, start.At + by}
	}
	shiftLearnedTimes(&s.Balancer, by)
}

// shiftLearnedTimes moves all times of a module's memory by so much. Those that are not set were never, or
// long ago.
func shiftLearnedTimes(m *balancer.LearnedState, by time.Duration) {
	move := func(t *time.Duration) {
		if *t > 0 {
			*t += by
		}
	}
	move(&m.RecentWaitAt)
	move(&m.AveragedAt)
	for i := range m.Quotas {
		move(&m.Quotas[i].UpdatedAt)
	}
	for id, w := range m.Workers {
		move(&w.LastWaitAt)
		move(&w.FailureScoreAt)
		move(&w.StartedAt)
		for i := range w.SlowStartSent {
			move(&w.SlowStartSent[i].At)
		}
		m.Workers[id] = w
	}
}

// Maintenance is an operators' word on a next hop.
type Maintenance struct {
	Endpoint  string        `json:"name"`
	Active    bool          `json:"out"`
	StartedAt time.Duration `json:"since"`           // when it was taken out
	EndedAt   time.Duration `json:"ended,omitempty"` // when it was put back
}

// MigratedRequest is an open job, all of whose attempts were accepted by a next hop.
type MigratedRequest struct {
	ID        string        `json:"id"`
	Class     int           `json:"class"`
	Deadline  time.Duration `json:"until"` // when its client gives up, by the sender's clock
	Timeout   time.Duration `json:"left"`  // how long that is from when this is sent
	Endpoints []string      `json:"hops"`  // that have it
}

// errVersionMismatch says that the other process speaks another version.
var errVersionMismatch = errors.New("another version")

// ParseMessage reads a message.
func ParseMessage(line []byte) (*Message, error) {
	var m Message
	if err := json.Unmarshal(line, &m); err != nil {
		return nil, fmt.Errorf("a message that can't be read: %w", err)
	}
	if (m.Type == TypeHello || m.Type == TypeState) && m.Version != Version {
		return nil, fmt.Errorf("%w: %d, and this process speaks %d", errVersionMismatch, m.Version, Version)
	}
	if m.Type == TypeState && m.State == nil || m.Type == TypeMaintenance && m.Maintenance == nil ||
		m.Type == TypeMigratedRequest && m.Request == nil {
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
