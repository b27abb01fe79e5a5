package faultinjection

import (
	"bytes"
	"context"
	"fmt"

	"moorstack/internal/schema"
)

// auditHistories compares the histories of all instances with the changes of the run. A change that was
// acknowledged as in force must have its revision at every instance, a withdrawn change must be in no
// history, and all histories must be equal.
func (r *run) auditHistories(ctx context.Context) {
	newest := uint64(1)
	for _, revision := range r.acknowledged {
		newest = max(newest, revision)
	}
	var first []byte
	for _, p := range r.Processes {
		history, err := readHistory(ctx, p)
		if err != nil {
			r.violate("%v", err)
			continue
		}
		text := r.auditHistory(p, history, newest)
		if first == nil {
			first = text
		}
		if !bytes.Equal(first, text) {
			r.violate("the history of %s differs from that of %s", p.Name, r.Processes[0].Name)
		}
	}
}

func readHistory(ctx context.Context, p *Process) (history *schema.HistoryReply, err error) {
	err = RetryUntil(ctx, "reading the history of "+p.Name, func(ctx context.Context) error {
		// Reading the configuration first is a barrier: the history is at least as recent.
		if _, err := p.Client.GetConfig(ctx, &schema.GetConfigRequest{}); err != nil {
			return err
		}
		var err error
		history, err = p.Client.History(ctx, &schema.HistoryRequest{})
		return err
	})
	return history, err
}

// auditHistory checks one instance's history, and returns it as text for comparison.
func (r *run) auditHistory(p *Process, history *schema.HistoryReply, newest uint64) []byte {
	revisions := map[string]uint64{} // by the change's id
	var text bytes.Buffer
	for _, revision := range history.Revisions {
		if before, ok := revisions[revision.Id]; ok {
			r.violate("%s: change %s has the revisions %d and %d", p.Name, revision.Id, before,
				revision.Revision)
		}
		revisions[revision.Id] = revision.Revision
		fmt.Fprintln(&text, revision.Revision, revision.Id, revision.AtMs, revision.ForceMs)
	}
	for id, revision := range r.acknowledged {
		if revision >= history.Oldest && revisions[id] != revision {
			r.violate("%s: change %s was acknowledged as revision %d, but has revision %d", p.Name, id,
				revision, revisions[id])
		}
	}
	for id := range r.withdrawn {
		if revisions[id] != 0 {
			r.violate("%s: change %s was withdrawn, but has revision %d", p.Name, id, revisions[id])
		}
	}
	if last := history.Revisions[0].Revision; last != newest {
		r.violate("%s: the newest revision is %d, but the last acknowledged one is %d", p.Name, last, newest)
	}
	return text.Bytes()
}
