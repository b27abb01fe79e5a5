package consensus

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/rollout"
	"moorstack/internal/schema"
)

// encodeEntry encodes the data of a log entry.
func encodeEntry(e *schema.Change) []byte {
	b, err := proto.Marshal(e)
	if err != nil {
		panic(err) // can't happen: strings that are not UTF-8 have been rejected
	}
	return b
}

func encodeChange(c clusterstate.Change, format int) []byte {
	return encodeEntry(&schema.Change{Id: c.ID, Base: c.BaseRevision, Author: c.Author, Note: c.Note,
		AtMs: c.ProposedAt.UnixMilli(), Format: uint32(format), Document: c.Document.Encode()})
}

// rolloutFormat is the first format of the log that has rollout commands.
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

// decodeEntry decodes the data of a log entry. The message holds either a configuration change, which is
// returned decoded, or another command.
func (r *replica) decodeEntry(data []byte) (*schema.Change, clusterstate.Change, error) {
	m := &schema.Change{}
	if err := proto.Unmarshal(data, m); err != nil {
		return nil, clusterstate.Change{}, fmt.Errorf("decode log entry: %w", err)
	}
	if m.Format > clusterstate.LatestFormat {
		return nil, clusterstate.Change{}, fmt.Errorf(
			"log entry has format %d, this program supports up to %d and must be upgraded",
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
