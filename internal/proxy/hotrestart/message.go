package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

const (
	// Version is of the messages. Processes of different versions have no link: the child then serves
	// alongside its parent, at a socket of its own.
	Version = 1

	// maxMessageBytes is the longest message that is read.
	maxMessageBytes = 8 << 20
)

// MessageType is the type of a message, by which its other fields are set.
type MessageType string

// The messages. A hello is answered with a state or a rejection.
const (
	TypeHello           MessageType = "hello"  // a child's: Version, Node, ListenAddress
	TypeState           MessageType = "state"  // a parent's: Version, State, and its listening socket
	TypeRejected        MessageType = "refuse" // a parent's: Version, Reason
	TypeChildServes     MessageType = "take"
	TypeParentReleased  MessageType = "taken" // RequestIDs that are open at the parent
	TypeParentDrained   MessageType = "empty"
	TypeCallBack        MessageType = "call"  // CallBackNumber, Body: a worker's call-back that is forwarded
	TypeCallBackHandled MessageType = "heard" // CallBackNumber
	TypeRequestsBegun   MessageType = "begun" // RequestIDs that the other process must not begin
	TypeInFlight        MessageType = "held"  // InFlight at the parent
	TypeMaintenance     MessageType = "ban"   // Maintenance, an operator's command
	TypeMigratedRequest MessageType = "job"   // Request, and its client's connection
)

// Message is one line of JSON on a link.
type Message struct {
	Type           MessageType      `json:"t"`
	Version        int              `json:"v,omitempty"`
	Node           string           `json:"name,omitempty"`   // the node's name
	ListenAddress  string           `json:"listen,omitempty"` // at which the node serves clients
	Reason         string           `json:"why,omitempty"`
	State          *State           `json:"state,omitempty"`
	RequestIDs     []string         `json:"ids,omitempty"`
	CallBackNumber uint64           `json:"n,omitempty"` // which call-back, as its sender counts them
	Body           []byte           `json:"body,omitempty"`
	Maintenance    *Maintenance     `json:"ban,omitempty"`
	Request        *MigratedRequest `json:"job,omitempty"`

	InFlight map[string]float64 `json:"held,omitempty"` // attempts by endpoint
}

// Maintenance is an operator's command about an endpoint. Times are by the sender's clock.
type Maintenance struct {
	Endpoint  string        `json:"name"`
	Active    bool          `json:"out"`             // it is under maintenance now
	StartedAt time.Duration `json:"since"`           // of the maintenance
	EndedAt   time.Duration `json:"ended,omitempty"` // 0: it has not ended
}

// MigratedRequest is an open request all of whose attempts were accepted by a worker.
type MigratedRequest struct {
	ID        string        `json:"id"`
	Class     int           `json:"class"` // the class's number
	Deadline  time.Duration `json:"until"` // by the sender's clock
	Timeout   time.Duration `json:"left"`  // until the deadline, from when this is sent; 0: not stated
	Endpoints []string      `json:"hops"`  // that have accepted it
}

// errVersionMismatch is the error where the other process is of another Version.
var errVersionMismatch = errors.New("another version")

// ParseMessage parses a line, without its end. It fails if that is no message, lacks what its type needs, or
// is of another Version.
func ParseMessage(line []byte) (*Message, error) {
	var m Message
	if err := json.Unmarshal(line, &m); err != nil {
		return nil, fmt.Errorf("decoding a message: %w", err)
	}
	if (m.Type == TypeHello || m.Type == TypeState) && m.Version != Version {
		return nil, fmt.Errorf("%w: %d, and this process has %d", errVersionMismatch, m.Version, Version)
	}
	if m.Type == TypeState && m.State == nil || m.Type == TypeMaintenance && m.Maintenance == nil ||
		m.Type == TypeMigratedRequest && m.Request == nil {
		return nil, fmt.Errorf("a message of type %q lacks its content", m.Type)
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
