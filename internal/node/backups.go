package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/operate/backups"
	"moorstack/internal/operate/controlapi"
)

// labels are what this instance has that duties ask for, and where it is.
func (c *ServeConfig) labels(zone string) []string {
	list := []string{leasedtask.Zone + zone}
	if c.Duties.Backups != "" {
		list = append(list, leasedtask.CanBackup)
	}
	return list
}

// backups keeps a backup of the agreed state for each period. Which period it is goes by the wall
// clock, and nothing else does: that no two write at once is the duty's and the directory's to see to.
func (k *keeper) backups(ctx context.Context, t *turn) error {
	dir := backups.Dir{Path: k.i.cfg.Duties.Backups, Verify: func(b []byte) error {
		_, err := controlapi.ReadBackup(b)
		return err
	}}
	for {
		if err := k.backup(ctx, t, dir); err != nil && ctx.Err() == nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// backup writes the backup of this period, unless it is noted to be there.
func (k *keeper) backup(ctx context.Context, t *turn, dir backups.Dir) error {
	var cluster string
	var p leasedtask.Policy
	var content []byte
	r := k.i.runner
	if err := r.View(ctx, func(s *clusterstate.State) {
		p, _ = leasedtask.ReadPolicy(s.Newest().Document.Sections[leasedtask.Section], clusterstate.Format)
	}); err != nil || p.Every == 0 {
		return nil // the group has just lost it
	}
	held := t.now()
	var done backups.Kept
	if len(held.Note) > 0 {
		if err := json.Unmarshal(held.Note, &done); err != nil {
			return fmt.Errorf("the note of the backups can't be read: %w", err)
		}
	}
	period := time.Now().UTC().Truncate(p.Every)
	if !period.After(done.Period) || !t.May(consensus.Boottime()) {
		return nil
	}
	// What is backed up is at least as new as the period's beginning.
	if err := r.Barrier(ctx); err != nil {
		return nil // the lease ends, or a leader comes
	}
	if err := r.View(ctx, func(s *clusterstate.State) {
		cluster, content = s.Cluster(), controlapi.WriteBackup(s.Cluster(), s.History())
	}); err != nil {
		return nil
	}
	kept, err := dir.Keep(backups.Request{Group: cluster, Duty: t.duty, Number: t.number, Period: period,
		Content: content, Keep: p.Keep, May: func() bool { return t.May(consensus.Boottime()) }})
	var stale *leasedtask.StaleError
	switch {
	case errors.As(err, &stale) || errors.Is(err, backups.ErrOver):
		k.log.WithError(err).Warn("a backup is not written: this instance holds the duty no more")
		return nil
	case err != nil:
		return err
	}
	note, err := json.Marshal(kept)
	if err != nil {
		return err
	}
	o, err := k.say(ctx, leasedtask.Command{Kind: leasedtask.Note, Duty: t.duty, Number: t.number, Turn: held.Turn,
		Note: note})
	if err == nil && o.Code == clusterstate.Accepted {
		k.log.WithField("file", kept.File).Info("a backup is kept")
	}
	return nil // without an answer the next look tells
}
