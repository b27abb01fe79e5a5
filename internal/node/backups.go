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
	list := []string{leasedtask.ZoneLabelPrefix + zone}
	if c.LeasedTasks.Backups != "" {
		list = append(list, leasedtask.BackupLabel)
	}
	return list
}

// backups keeps a backup of the agreed state for each period. Which period it is goes by the wall
// clock, and nothing else does: that no two write at once is the duty's and the directory's to see to.
func (k *keeper) backups(ctx context.Context, t *turn) error {
	dir := backups.Dir{Path: k.i.cfg.LeasedTasks.Backups, Verify: func(b []byte) error {
		_, err := controlapi.DecodeBackup(b)
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
		p, _ = leasedtask.ParsePolicy(s.CurrentRevision().Document.Sections[leasedtask.Section],
			clusterstate.LatestFormat)
	}); err != nil || p.BackupInterval == 0 {
		return nil // the group has just lost it
	}
	held := t.now()
	var done backups.Result
	if len(held.Note) > 0 {
		if err := json.Unmarshal(held.Note, &done); err != nil {
			return fmt.Errorf("the note of the backups can't be read: %w", err)
		}
	}
	period := time.Now().UTC().Truncate(p.BackupInterval)
	if !period.After(done.Period) || !t.May(consensus.BootTime()) {
		return nil
	}
	// What is backed up is at least as new as the period's beginning.
	if err := r.Barrier(ctx); err != nil {
		return nil // the lease ends, or a leader comes
	}
	if err := r.View(ctx, func(s *clusterstate.State) {
		cluster, content = s.ClusterID(), controlapi.EncodeBackup(s.ClusterID(), s.Revisions())
	}); err != nil {
		return nil
	}
	kept, err := dir.Write(
		backups.WriteRequest{Group: cluster, Task: t.duty, FencingToken: t.number, Period: period,
			Content: content, Retain: p.BackupsKept,
			LeaseValid: func() bool { return t.May(consensus.BootTime()) }},
	)
	var stale *leasedtask.StaleTokenError
	switch {
	case errors.As(err, &stale) || errors.Is(err, backups.ErrLeaseExpired):
		k.log.WithError(err).Warn("a backup is not written: this instance holds the duty no more")
		return nil
	case err != nil:
		return err
	}
	note, err := json.Marshal(kept)
	if err != nil {
		return err
	}
	o, err := k.say(
		ctx,
		leasedtask.Command{
			Kind:         leasedtask.UpdateNote,
			Task:         t.duty,
			FencingToken: t.number,
			NoteRevision: held.NoteRevision,
			Note:         note,
		},
	)
	if err == nil && o.Code == clusterstate.Accepted {
		k.log.WithField("file", kept.File).Info("a backup is kept")
	}
	return nil // without an answer the next look tells
}
