package node

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc/status"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/cluster/rollingrestart"
	"moorstack/internal/schema"
)

// What becomes of a process that a rolling restart takes out.
const (
	outEnds   = "end"
	outStarts = "start"
)

// ErrRestart says that the program is to be started anew in the place of this process.
var ErrRestart = errors.New("the instance has been taken out, and starts anew")

// lookEvery is how often a conductor looks at the instances, and askWithin how long each may take to answer.
const (
	lookEvery = 100 * time.Millisecond
	askWithin = time.Second
)

// conduct is the work of the duty that takes the instances out one after another.
func (k *keeper) conduct(ctx context.Context, t *turn) error {
	c := rollingrestart.NewController()
	for {
		if err := k.step(ctx, t, c); err != nil && ctx.Err() == nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(lookEvery):
		}
	}
}

// step notes what is to be done next, if anything is. What it notes counts once it is agreed on: who is to
// go reads it there (leaves), and goes by that.
func (k *keeper) step(ctx context.Context, t *turn, c *rollingrestart.Controller) error {
	held := t.now()
	plan, err := rollingrestart.DecodePlan(held.Note)
	if err != nil || !plan.Active() {
		return err
	}
	seen, err := k.i.see(ctx)
	if err != nil {
		return nil // it is about to end, or its group is
	}
	next, changed := c.Reconcile(consensus.BootTime(), plan, seen)
	if !changed || !t.May(consensus.BootTime()) {
		return nil
	}
	note, err := next.Encode()
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
		k.log.WithFields(logrus.Fields{"duty": t.duty, "number": t.number}).Info(
			"a rolling restart is " + next.Progress())
	}
	return nil // without an answer the next look tells
}

// see looks at all instances: at their sessions in the agreed state, and at what each says of itself.
func (i *Instance) see(ctx context.Context) ([]rollingrestart.InstanceStatus, error) {
	st := i.runner.Status()
	var list []rollingrestart.InstanceStatus
	var newest uint64
	err := i.runner.View(ctx, func(s *clusterstate.State) {
		newest = s.CurrentRevision().Number
		for _, m := range st.Members {
			one := rollingrestart.InstanceStatus{Member: m.ID, Name: m.Name, Voter: m.Voter,
				RestartLast: m.ID == st.ID || m.ID == st.Leader, Reason: "it has no session"}
			if x := s.Rollout().Sessions[m.ID]; x.Open {
				one.Incarnation = x.Incarnation
			}
			list = append(list, one)
		}
	})
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithTimeout(ctx, askWithin)
	defer stop()
	var all sync.WaitGroup
	for n := range list {
		all.Go(
			func() {
				list[n].Zone, list[n].Reason = i.ask(ctx, st.Members[n].Member, list[n].Incarnation,
					newest)
			},
		)
	}
	all.Wait()
	for n := range list {
		list[n].Healthy = list[n].Reason == ""
	}
	return list, nil
}

// ask asks an instance how it stands, and says what is wrong with it.
func (i *Instance) ask(ctx context.Context, m clusterstate.Member, life, newest uint64) (zone, why string) {
	d, err := i.network.Describe(ctx, m)
	switch {
	case err != nil:
		return "", "it does not answer: " + status.Convert(err).Message()
	case life == 0:
		return d.Zone, "it has no session"
	case d.Life != life:
		return d.Zone, "its process has no session yet"
	case d.Running != newest:
		return d.Zone, fmt.Sprintf("its fronts run revision %d, and %d is in force", d.Running, newest)
	}
	return d.Zone, d.Why
}

// zone is where this instance is; empty: its settings name no zones.
func (i *Instance) zone() string {
	if i.own.Zone >= len(i.names.Zones) {
		return ""
	}
	return i.names.Zones[i.own.Zone]
}

// fronts says where this instance's fronts are, which revision they run, and why they admit nothing.
func (i *Instance) fronts(d *schema.Description) {
	d.Zone = i.zone()
	if d.Running, d.Why = i.RunningRevision(); d.Why != "" {
		return
	}
	// The fronts' own loop says whether it admits: it may stand still while the rest answers.
	why := make(chan string, 1)
	i.node.loop.Post(func() {
		if i.gate.permit.Admits(consensus.BootTime(), i.gate.running) {
			why <- ""
			return
		}
		why <- "no job is admitted: " + i.gate.why()
	})
	select {
	case d.Why = <-why:
	case <-time.After(askWithin / 2):
		d.Why = "its fronts stand still"
	}
}

// leaves has this instance's process go when the plan of a rolling restart says so.
type leaves struct {
	i       *Instance
	signals chan os.Signal
	out     atomic.Bool
	asked   atomic.Bool // from outside, to end
}

func newLeaves(i *Instance) *leaves { return &leaves{i: i, signals: make(chan os.Signal, 4)} }

// noted takes the plan as it is agreed on, on the runner's goroutine.
//
// Hazard: it may be read late, or again after a start. The step is for one life of the instance.
func (l *leaves) noted(n leasedtask.PlanChanged) {
	plan, err := rollingrestart.DecodePlan(n.Note)
	if err != nil || !plan.MustRestart(n.Member, n.Incarnation) || l.out.Swap(true) {
		return
	}
	l.i.log.WithField("by", plan.Author).Info("this instance is taken out by a rolling restart")
	l.i.gate.note("out %d", plan.MaxUnavailable)
	l.signals <- syscall.SIGTERM
}

// among gives the signals from outside, and its own.
func (l *leaves) among(outside <-chan os.Signal) <-chan os.Signal {
	go func() {
		for s := range outside {
			// Hazard: who asks it to end waits for its end, and not for another process in its place.
			if s != syscall.SIGHUP {
				l.asked.Store(true)
			}
			l.signals <- s
		}
	}()
	return l.signals
}

// anew says whether the program is to be started in the place of this process.
func (l *leaves) anew() bool {
	return l.out.Load() && !l.asked.Load() && l.i.cfg.LeasedTasks.Out == outStarts
}
