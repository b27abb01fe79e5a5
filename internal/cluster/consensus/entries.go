package consensus

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/rollout"
	"moorstack/internal/schema"
)

// encodeEntry gives the data of a log entry.
func encodeEntry(e *schema.Change) []byte {
	b, err := proto.Marshal(e)
	if err != nil {
		panic(err) // a string that is not UTF-8 was rejected before
	}
	return b
}

func encodeChange(c clusterstate.Change, format int) []byte {
	return encodeEntry(&schema.Change{Id: c.ID, Base: c.BaseRevision, Author: c.Author, Note: c.Note,
		AtMs: c.ProposedAt.UnixMilli(), Format: uint32(format), Document: c.Document.Encode()})
}

// rolloutFormat is the format of the log from which on rollout commands stand in it.
const rolloutFormat = 2

func encodeRolloutCommand(c rollout.Command) []byte {
	m := &schema.Command{Kind: uint32(c.Kind), Id: c.ID, Term: c.Term, Change: c.Change,
		Attempt: int64(c.Attempt), Member: c.Member, Name: c.Name, Nonce: c.Incarnation, Reason: c.Reason,
		AtMs: c.AtMS}
	for _, s := range c.Sessions {
		m.Seats = append(m.Seats, &schema.Seat{Member: s.Member, Epoch: s.Epoch})
	}
	return encodeEntry(&schema.Change{Format: rolloutFormat, Command: m})
}

func decodeRolloutCommand(m *schema.Command) rollout.Command {
	c := rollout.Command{Kind: rollout.Kind(m.Kind), ID: m.Id, Term: m.Term, Change: m.Change,
		Attempt: int(m.Attempt), Member: m.Member, Name: m.Name, Incarnation: m.Nonce, Reason: m.Reason,
		AtMS: m.AtMs}
	for _, s := range m.Seats {
		c.Sessions = append(c.Sessions, rollout.SessionID{Member: s.Member, Epoch: s.Epoch})
	}
	return c
}

// decodeEntry reads the data of a log entry: a change of the configuration, or the message that holds
// another command.
func (r *replica) decodeEntry(data []byte) (*schema.Change, clusterstate.Change, error) {
	m := &schema.Change{}
	if err := proto.Unmarshal(data, m); err != nil {
		return nil, clusterstate.Change{}, fmt.Errorf("a change in the log can't be read: %w", err)
	}
	if m.Format > clusterstate.LatestFormat {
		return nil, clusterstate.Change{}, fmt.Errorf(
			"a change in the log has format %d; this program reads %d and must be renewed",
			m.Format, clusterstate.LatestFormat)
	}
	if m.Command != nil || m.Enter || r.cfg.Rules.HasCommand(m) {
		return m, clusterstate.Change{}, nil
	}
	document, err := clusterstate.DecodeDocument(m.Document)
	if err != nil {
		return nil, clusterstate.Change{}, err
	}
	return m, clusterstate.Change{ID: m.Id, BaseRevision: m.Base, Author: m.Author, Note: m.Note,
		ProposedAt: time.UnixMilli(m.AtMs), Document: document}, nil
}
