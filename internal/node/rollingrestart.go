package node

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/status"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/rollingrestart"
)

const (
	// restartCheckInterval is how often the controller of a rolling restart checks the instances' status.
	restartCheckInterval = 100 * time.Millisecond
	// describeTimeout bounds the time in which the instances must describe themselves.
	describeTimeout = time.Second
)

// restartTask drives package rollingrestart: it has the instances restart one after another.
type restartTask struct {
	env *environment
	log logrus.FieldLogger
}

func newRestartTask(env *environment) *restartTask {
	return &restartTask{env: env, log: env.component("rollingrestart")}
}

// run implements taskFunc.
func (t *restartTask) run(ctx context.Context, r *taskRun) error {
	controller := rollingrestart.NewController()
	return repeat(ctx, restartCheckInterval, func() error { return t.step(ctx, r, controller) })
}

// step records the next action of the plan, if there is one, in the task's note. The action takes effect once
// it is committed: the instance that must restart reads the committed plan (selfRestart).
func (t *restartTask) step(ctx context.Context, r *taskRun, controller *rollingrestart.Controller) error {
	lease := r.current()
	plan, err := rollingrestart.DecodePlan(lease.Note)
	if err != nil || !plan.Active() {
		return err
	}
	observed, err := t.survey(ctx)
	if err != nil {
		return nil // the runner or the lease is ending
	}
	next, changed := controller.Reconcile(consensus.BootTime(), plan, observed)
	if !changed || !r.Valid(consensus.BootTime()) {
		return nil
	}
	note, err := next.Encode()
	if err != nil {
		return err
	}
	if r.updateNote(ctx, lease, note) {
		t.log.WithFields(logrus.Fields{"task": r.task, "fencing_token": r.token, "state": next.Progress()}).
			Info("rolling restart advanced")
	}
	return nil
}

// survey returns the status of all instances, from their sessions in the agreed state and their descriptions.
func (t *restartTask) survey(ctx context.Context) ([]rollingrestart.InstanceStatus, error) {
	st := t.env.runner.Status()
	var observed []rollingrestart.InstanceStatus
	var currentRevision uint64
	err := t.env.runner.View(ctx, func(s *clusterstate.State) {
		currentRevision = s.CurrentRevision().Number
		for _, m := range st.Members {
			instance := rollingrestart.InstanceStatus{Member: m.ID, Name: m.Name, Voter: m.Voter,
				RestartLast: m.ID == st.ID || m.ID == st.Leader}
			if x := s.Rollout().Sessions[m.ID]; x.Open {
				instance.Incarnation = x.Incarnation
			}
			observed = append(observed, instance)
		}
	})
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithTimeout(ctx, describeTimeout)
	defer stop()
	var calls sync.WaitGroup
	for n := range observed {
		calls.Go(func() { t.describe(ctx, st.Members[n].Member, currentRevision, &observed[n]) })
	}
	calls.Wait()
	return observed, nil
}

// describe requests the description of an instance, and completes its status.
func (t *restartTask) describe(ctx context.Context, m clusterstate.Member, currentRevision uint64,
	observed *rollingrestart.InstanceStatus) {
	d, err := t.env.network.Describe(ctx, m)
	if err != nil {
		observed.Reason = "it does not answer: " + status.Convert(err).Message()
		return
	}
	observed.Zone = d.Zone
	switch {
	case observed.Incarnation == 0:
		observed.Reason = "it has no session"
	case d.Life != observed.Incarnation:
		observed.Reason = "its process has no session yet"
	case d.Running != currentRevision:
		observed.Reason = fmt.Sprintf("its fronts run revision %d, and %d is in force", d.Running,
			currentRevision)
	default:
		observed.Reason = d.Why
	}
	observed.Healthy = observed.Reason == ""
}
