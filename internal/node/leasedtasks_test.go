package node

import (
	"context"
	"errors"
	"testing"
	"time"

	"moorstack/internal/cluster/leasedtask"
)

func TestEndedTaskRunIsInvalidUnderAnyLease(t *testing.T) {
	lease := leasedtask.Lease{Task: "backup", FencingToken: 1, ExpiresAt: time.Hour}
	stopped := false
	r := &taskRun{lease: lease, stop: func() { stopped = true }}
	if !r.Valid(time.Minute) || r.Valid(2*time.Hour) {
		t.Error("the run's validity does not follow its lease")
	}
	lease.ReleaseReason = "transferred"
	r.renew(lease)
	if reason := r.end(); reason != "transferred" || !stopped {
		t.Errorf("got release reason %q and stopped %v, want transferred and true", reason, stopped)
	}
	lease.ReleaseReason = ""
	r.renew(lease)
	if r.Valid(time.Minute) {
		t.Error("the run is valid after its end")
	}
}

func TestUnknownTaskFails(t *testing.T) {
	env, _ := testEnvironment(t)
	known := func(context.Context, *taskRun) error { return nil }
	d := newTaskDriver(env, map[string]taskFunc{"known": known})
	if err := d.taskFuncFor("known")(t.Context(), nil); err != nil {
		t.Error(err)
	}
	if err := d.taskFuncFor("other")(t.Context(), nil); err == nil {
		t.Error("an unknown task succeeded")
	}
}

func TestRepeatEndsWithErrorOrContext(t *testing.T) {
	failed := errors.New("failed")
	if err := repeat(t.Context(), time.Millisecond, func() error { return failed }); !errors.Is(err, failed) {
		t.Errorf("got error %v, want the step's error", err)
	}
	ctx, stop := context.WithCancel(t.Context())
	if err := repeat(ctx, time.Millisecond, func() error { stop(); return failed }); err != nil {
		t.Errorf("got error %v after the context's end, want none", err)
	}
}

func TestBackupNote(t *testing.T) {
	if last, err := lastBackup(nil); err != nil || !last.Period.IsZero() {
		t.Errorf("without a note: got backup %v and error %v, want neither", last, err)
	}
	if _, err := lastBackup([]byte("{")); err == nil {
		t.Error("a truncated note was accepted")
	}
}
