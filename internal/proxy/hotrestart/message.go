package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

const (
	// Version is the version of the protocol. Processes with different versions don't connect: the child then
	// serves alongside its parent, on its own listening socket.
	Version = 1

	// maxMessageBytes limits the length of a received message.
	maxMessageBytes = 8 << 20
)

// MessageType is the type of a message. It determines which other fields are set.
type MessageType string

// The message types, with their fields. The response to TypeHello is TypeState or TypeRejected.
const (
	TypeHello           MessageType = "hello"  // from a child: Version, Node, ListenAddress
	TypeState           MessageType = "state"  // from a parent: Version, State, and its listening socket
	TypeRejected        MessageType = "refuse" // from a parent: Version, Reason
	TypeChildServes     MessageType = "take"
	TypeParentReleased  MessageType = "taken" // RequestIDs of the parent's open requests
	TypeParentDrained   MessageType = "empty"
	TypeCallBack        MessageType = "call"  // CallBackNumber, Body: a worker's call-back, forwarded
	TypeCallBackHandled MessageType = "heard" // CallBackNumber
	TypeRequestsBegun   MessageType = "begun" // RequestIDs that the other process must not start
	TypeInFlight        MessageType = "held"  // InFlight of the parent
	TypeMaintenance     MessageType = "ban"   // Maintenance: an operator's command
	TypeMigratedRequest MessageType = "job"   // Request, and its client's connection as a descriptor
)

// Message is one line of JSON on a link.
type Message struct {
	Type           MessageType      `json:"t"`
	Version        int              `json:"v,omitempty"`
	Node           string           `json:"name,omitempty"`   // the node's name
	ListenAddress  string           `json:"listen,omitempty"` // at which the node accepts clients
	Reason         string           `json:"why,omitempty"`
	State          *State           `json:"state,omitempty"`
	RequestIDs     []string         `json:"ids,omitempty"`
	CallBackNumber uint64           `json:"n,omitempty"` // a number that the sender gives the call-back
	Body           []byte           `json:"body,omitempty"`
	Maintenance    *Maintenance     `json:"ban,omitempty"`
	Request        *MigratedRequest `json:"job,omitempty"`

	InFlight map[string]float64 `json:"held,omitempty"` // by endpoint name: slots that attempts occupy
}

// Maintenance is an operator's command that starts or ends maintenance of an endpoint. Times are by the
// sender's clock.
type Maintenance struct {
	Endpoint  string        `json:"name"`
	Active    bool          `json:"out"`             // the endpoint is under maintenance
	StartedAt time.Duration `json:"since"`           // when the maintenance started
	EndedAt   time.Duration `json:"ended,omitempty"` // when it ended; 0: it has not ended
}

// MigratedRequest is an open request that migrates to the child. Workers have accepted all its attempts.
type MigratedRequest struct {
	ID        string        `json:"id"`
	Class     int           `json:"class"` // the class's number
	Deadline  time.Duration `json:"until"` // by the sender's clock
	Timeout   time.Duration `json:"left"`  // time left until the deadline when it is sent; 0: not given
	Endpoints []string      `json:"hops"`  // the endpoints that have accepted it
}

// errVersionMismatch is returned if the other process has another Version.
var errVersionMismatch = errors.New("hot restart protocol version mismatch")

// ParseMessage parses a line without its line end. It fails if the line is not a message, lacks a field that
// its type requires, or has another Version.
func ParseMessage(line []byte) (*Message, error) {
	var m Message
	if err := json.Unmarshal(line, &m); err != nil {
		return nil, fmt.Errorf("decoding a hot restart message: %w", err)
	}
	if (m.Type == TypeHello || m.Type == TypeState) && m.Version != Version {
		return nil, fmt.Errorf("%w: got %d, want %d", errVersionMismatch, m.Version, Version)
	}
	if m.Type == TypeState && m.State == nil || m.Type == TypeMaintenance && m.Maintenance == nil ||
		m.Type == TypeMigratedRequest && m.Request == nil {
		return nil, fmt.Errorf("message of type %q has no content", m.Type)
	}
	return &m, nil
}

// Append appends the message as a line.
func (m *Message) Append(dst []byte) []byte {
	raw, err := json.Marshal(m)
	if err != nil {
		panic(err) // unreachable: every field can be encoded
	}
	return append(append(dst, raw...), '\n')
}
