package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/cluster/listrelay"
	"moorstack/internal/schema"
)

const (
	// resubscribeBackoff is the time between the end of one subscription and the next attempt.
	resubscribeBackoff = 100 * time.Millisecond
	// relayLookupTimeout bounds looking up in the agreed state which instance relays the list.
	relayLookupTimeout = time.Second
)

var (
	errRelaySilent  = errors.New("the relay has sent nothing for too long")
	errRelayChanged = errors.New("another instance relays the list")
)

// listFollower receives the endpoint list from the instance that relays it, and polls discovery directly
// while that fails. Its work is done by the goroutine of run, which ends with close.
type listFollower struct {
	env        *environment
	log        logrus.FieldLogger
	subscriber *listrelay.Subscriber
	polling    bool // this instance polls discovery directly
	cancel     context.CancelFunc
	closed     chan struct{} // closed once run has ended
}

// relay is the instance that relays the list, with the fencing token of its lease.
type relay struct {
	clusterstate.Member
	token uint64
}

func newListFollower(env *environment) *listFollower {
	return &listFollower{env: env, log: env.component("listrelay"), polling: true,
		closed:     make(chan struct{}),
		subscriber: listrelay.NewSubscriber(consensus.BootTime(), rand.Float64())}
}

// start starts the follower's goroutine; close ends it.
func (f *listFollower) start() {
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	go f.run(ctx)
}

func (f *listFollower) close() error {
	f.cancel()
	<-f.closed
	return nil
}

func (f *listFollower) run(ctx context.Context) {
	defer close(f.closed)
	for ctx.Err() == nil {
		from, ok := f.currentRelay(ctx)
		if ok {
			f.subscriber.ObserveFencingToken(from.token)
			// subscribe also returns when the relay has sent nothing for too long.
			err := f.subscribe(ctx, from)
			f.log.WithError(err).WithField("instance", from.Name).
				Debug("subscription to the endpoint list ended")
		}
		f.fallBackToPolling(ctx, !ok)
		select {
		case <-ctx.Done():
		case <-time.After(resubscribeBackoff):
		}
	}
}

// fallBackToPolling returns to polling discovery directly when that is due: at once if no instance relays the
// list.
func (f *listFollower) fallBackToPolling(ctx context.Context, noRelay bool) {
	if f.polling || !noRelay && !f.subscriber.ShouldPoll(consensus.BootTime()) {
		return
	}
	f.subscriber.Invalidate()
	if f.env.onLoop(ctx, func() { f.env.node.front.SetListRelayed(false) }) == nil {
		f.polling = true
		f.log.Info("polling discovery directly")
	}
}

// currentRelay returns the instance that relays the list. ok is false if that is this instance, if there is
// none, or if the configuration has no such task.
func (f *listFollower) currentRelay(ctx context.Context) (r relay, ok bool) {
	ctx, stop := context.WithTimeout(ctx, relayLookupTimeout)
	defer stop()
	_ = f.env.runner.View(ctx, func(s *clusterstate.State) {
		task := s.LeasedTasks().Tasks[leasedtask.EndpointListTask]
		if task == nil || !task.IsHeld() || task.HolderName == f.env.name {
			return
		}
		r.Member, ok = s.Member(task.Holder.Member)
		r.token = task.FencingToken
	})
	return r, ok
}

// subscribe receives updates until the relay is silent, another instance relays the list, or an update fails.
func (f *listFollower) subscribe(ctx context.Context, from relay) error {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	silence := time.AfterFunc(listrelay.SilenceTimeout, func() { stop(errRelaySilent) })
	defer silence.Stop()
	go f.watchRelay(ctx, from, stop)
	return f.env.network.WatchEndpointLists(ctx, from.Member, func(m *schema.ListNews) error {
		silence.Reset(listrelay.SilenceTimeout)
		return f.receive(ctx, from, decodeListUpdate(m))
	})
}

// watchRelay ends a subscription when another instance relays the list: the previous relay continues to send
// until it learns of its successor. It returns when the context ends.
func (f *listFollower) watchRelay(ctx context.Context, from relay, stop context.CancelCauseFunc) {
	for ctx.Err() == nil {
		if now, ok := f.currentRelay(ctx); !ok || now.ID != from.ID {
			stop(errRelayChanged)
		}
		select {
		case <-ctx.Done():
		case <-time.After(listrelay.HeartbeatInterval):
		}
	}
}

func (f *listFollower) receive(ctx context.Context, from relay, update listrelay.EndpointListUpdate) error {
	accepted, err := f.subscriber.Receive(consensus.BootTime(), update)
	if err != nil || !accepted && !f.polling {
		return err
	}
	if loopErr := f.env.onLoop(ctx, func() {
		if accepted {
			err = f.env.node.front.ApplyList(update.Payload)
		}
		if err == nil {
			f.env.node.front.SetListRelayed(true)
		}
	}); loopErr != nil {
		f.subscriber.Invalidate()
		return loopErr // err can't be read: the function posted to the loop may still write it
	}
	if err != nil {
		f.subscriber.Invalidate()
		return err
	}
	if f.polling = false; update.Complete {
		f.log.WithFields(logrus.Fields{"instance": from.Name, "generation": update.Generation}).
			Info("endpoint list received from another instance")
	}
	return nil
}
