package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/operate/backups"
	"moorstack/internal/operate/controlapi"
)

// backupCheckInterval is how often the holder of the backup task checks whether a new period has started.
const backupCheckInterval = 100 * time.Millisecond

// backupTask writes one backup of the agreed state per period. Only the period depends on the wall clock: the
// lease and the directory ensure that no two instances write at once.
type backupTask struct {
	env *environment
	log logrus.FieldLogger
	dir backups.Dir
}

func newBackupTask(env *environment, path string) *backupTask {
	verify := func(b []byte) error {
		_, err := controlapi.DecodeBackup(b)
		return err
	}
	return &backupTask{env: env, log: env.component("backups"), dir: backups.Dir{Path: path, Verify: verify}}
}

// run implements taskFunc.
func (b *backupTask) run(ctx context.Context, r *taskRun) error {
	return repeat(ctx, backupCheckInterval, func() error { return b.backUpIfDue(ctx, r) })
}

// backUpIfDue writes the backup of the current period, unless the task's note already records it, and
// records it there.
func (b *backupTask) backUpIfDue(ctx context.Context, r *taskRun) error {
	policy, ok := b.policy(ctx)
	if !ok {
		return nil // backups were just turned off, or the runner does not answer
	}
	lease := r.current()
	last, err := lastBackup(lease.Note)
	if err != nil {
		return err
	}
	period := time.Now().UTC().Truncate(policy.BackupInterval)
	if !period.After(last.Period) || !r.Valid(consensus.BootTime()) {
		return nil
	}
	cluster, content, err := b.content(ctx)
	if err != nil {
		return nil // the lease is ending, or there is no leader: the next check retries
	}
	written, err := b.dir.Write(backups.WriteRequest{
		Group: cluster, Task: r.task, FencingToken: r.token, Period: period, Content: content,
		Retain: policy.BackupsKept, LeaseValid: func() bool { return r.Valid(consensus.BootTime()) },
	})
	var stale *leasedtask.StaleTokenError
	switch {
	case errors.As(err, &stale) || errors.Is(err, backups.ErrLeaseExpired):
		b.log.WithError(err).Warn("backup not written: this instance no longer holds the lease")
		return nil
	case err != nil:
		return err
	}
	note, err := json.Marshal(written)
	if err != nil {
		return fmt.Errorf("encoding the note of backup %s: %w", written.File, err)
	}
	if r.updateNote(ctx, lease, note) {
		b.log.WithField("path", written.File).Info("backup written")
	}
	return nil
}

// policy returns the agreed backup policy. ok is false if the agreed configuration has no backups, or if the
// runner does not answer.
func (b *backupTask) policy(ctx context.Context) (p leasedtask.Policy, ok bool) {
	err := b.env.runner.View(ctx, func(s *clusterstate.State) {
		p, _ = leasedtask.ParsePolicy(s.CurrentRevision().Document.Sections[leasedtask.Section],
			clusterstate.LatestFormat)
	})
	return p, err == nil && p.BackupInterval != 0
}

// lastBackup decodes the task's note; an empty note means that there is no backup yet.
func lastBackup(note []byte) (last backups.Result, err error) {
	if len(note) == 0 {
		return last, nil
	}
	if err := json.Unmarshal(note, &last); err != nil {
		return last, fmt.Errorf("the note of the backups can't be read: %w", err)
	}
	return last, nil
}

// content returns the group's id and an encoded backup of the agreed state as of this call or later.
func (b *backupTask) content(ctx context.Context) (cluster string, content []byte, err error) {
	if err := b.env.runner.Barrier(ctx); err != nil {
		return "", nil, err
	}
	err = b.env.runner.View(ctx, func(s *clusterstate.State) {
		cluster, content = s.ClusterID(), controlapi.EncodeBackup(s.ClusterID(), s.Revisions())
	})
	return cluster, content, err
}
