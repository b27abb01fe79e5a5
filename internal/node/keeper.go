package node

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/leasedtask"
)

// keeper has this instance do the work of the duties that it holds, and give them back.
type keeper struct {
	i    *Instance
	log  logrus.FieldLogger
	news chan struct{}
	ends chan struct{}
	over chan struct{} // closed once run has ended

	mu    sync.Mutex
	held  []leasedtask.Lease // as told last
	turns map[string]*turn
	made  uint64

	stands atomic.Bool // by, by an operator's word
	idling sync.Mutex  // while the group is told so
}

// turn is one holding of a duty, from its first step to when it is given back.
type turn struct {
	duty   string
	number uint64
	stop   context.CancelFunc

	mu   sync.Mutex
	held leasedtask.Lease // renewed with each lease
	left bool             // it acts no more
}

// work is what is done in a duty: until its context ends, or it fails. It looks at May before each
// effect that leaves the process, in the turn that acts.
type work func(ctx context.Context, t *turn) error

// May says whether this instance may act in the duty at this moment.
func (t *turn) May(now time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.left && t.held.Valid(now)
}

// now is the holding as it is known now.
func (t *turn) now() leasedtask.Lease {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held
}

func newKeeper(i *Instance) *keeper {
	return &keeper{i: i, log: i.log.WithField("part", "duties"), news: make(chan struct{}, 1),
		ends: make(chan struct{}), over: make(chan struct{}), turns: map[string]*turn{}}
}

// tell takes the agreement's word on what this instance holds. It never waits.
func (k *keeper) tell(held []leasedtask.Lease) {
	k.mu.Lock()
	k.held = held
	// A lease that was renewed counts at once, for the turns that are under way.
	for _, h := range held {
		if t := k.turns[h.Task]; t != nil && t.number == h.FencingToken {
			t.mu.Lock()
			t.held = h
			t.mu.Unlock()
		}
	}
	k.mu.Unlock()
	select {
	case k.news <- struct{}{}:
	default:
	}
}

// holds is what this instance holds.
func (k *keeper) holds() []leasedtask.Lease {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.held
}

// HeldTasks implements control.Host.
func (i *Instance) HeldTasks() []leasedtask.Lease { return i.keeper.holds() }

func (k *keeper) run() {
	defer close(k.over)
	for {
		select {
		case <-k.ends:
			return
		case <-k.news:
			k.follow()
		}
	}
}

// follow begins and ends turns as the agreed state says.
func (k *keeper) follow() {
	k.mu.Lock()
	defer k.mu.Unlock()
	holds := map[string]leasedtask.Lease{}
	for _, h := range k.held {
		holds[h.Task] = h
	}
	for name, t := range k.turns {
		if h := holds[name]; h.FencingToken != t.number || h.ReleaseReason != "" {
			t.stop()
		}
	}
	for name, h := range holds {
		if k.turns[name] != nil {
			continue // it begins anew when that turn has ended
		}
		ctx, stop := context.WithCancel(context.Background())
		t := &turn{duty: name, number: h.FencingToken, held: h, stop: stop}
		if h.ReleaseReason != "" {
			stop()
		}
		k.turns[name] = t
		go k.turn(ctx, t)
	}
}

// turn does the work of a holding, and gives it back.
func (k *keeper) turn(ctx context.Context, t *turn) {
	log := k.log.WithFields(logrus.Fields{"duty": t.duty, "number": t.number})
	log.Info("this instance holds a duty")
	k.i.gate.note("hold %s %d", t.duty, t.number)
	err := k.work(t.duty)(ctx, t)
	t.stop()
	t.mu.Lock()
	t.left = true // Hazard: from here on nothing is done under this number, whatever lease it has
	why := t.held.ReleaseReason
	t.mu.Unlock()
	k.i.gate.note("leave %s %d", t.duty, t.number)
	if err != nil {
		why = err.Error()
		log.WithError(err).Error("a duty is given back: its work has failed")
	}
	if why == "" {
		why = "it ends"
	}
	k.giveBack(
		t,
		leasedtask.Command{Kind: leasedtask.Release, Task: t.duty, FencingToken: t.number, Reason: why,
			Failed: err != nil},
	)
	k.mu.Lock()
	delete(k.turns, t.duty)
	k.mu.Unlock()
	log.WithField("why", why).Info("a duty is held no more")
	select {
	case k.news <- struct{}{}:
	default:
	}
}

// giveBack says that a duty is held no more, until the agreed state says so too.
func (k *keeper) giveBack(t *turn, c leasedtask.Command) {
	for k.holdsYet(t) {
		ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
		_, err := k.say(ctx, c)
		if stop(); err == nil {
			return
		}
		select {
		case <-k.ends:
			return // its lease ends without it
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (k *keeper) holdsYet(t *turn) bool {
	for _, h := range k.holds() {
		if h.Task == t.duty && h.FencingToken == t.number {
			return true
		}
	}
	return false
}

// say puts a holder's word into the log.
func (k *keeper) say(ctx context.Context, c leasedtask.Command) (clusterstate.Outcome, error) {
	k.mu.Lock()
	k.made++
	c.ID = fmt.Sprintf("duty/%s/%d/%d", k.i.cfg.Name, c.FencingToken, k.made)
	k.mu.Unlock()
	c.AtMS = time.Now().UnixMilli()
	return k.i.runner.ProposeCommand(ctx, leasedtask.Section, leasedtask.EncodeCommand(c), c.ID)
}

// patience is how long an instance that ends takes for handing on what it holds.
const patience = time.Second

// idle has the group give this instance no duties while it stands by, and those that it holds to others,
// where others can hold them.
func (k *keeper) idle() {
	// Hazard: two calls one after the other may get here in another order. What counts is how it stands now.
	k.idling.Lock()
	defer k.idling.Unlock()
	on := k.stands.Load()
	ctx, stop := context.WithTimeout(context.Background(), patience)
	defer stop()
	if err := k.i.runner.SetDeparting(ctx, on); err != nil {
		k.log.WithError(err).Warn("the group is not told that this instance stands by, or does no more")
	}
}

// leave has every duty be given back, and none be given to this instance: it is about to end. Open
// jobs may take long yet, and the duties need not wait for them.
func (k *keeper) leave() {
	ctx, stop := context.WithTimeout(context.Background(), patience)
	defer stop()
	if err := k.i.runner.SetDeparting(ctx, true); err != nil {
		return // the agreement has stopped: the lease ends without a word
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, t := range k.turns {
		t.stop()
	}
}

// stop hands on what this instance holds, as far as that comes about in time.
func (k *keeper) stop() error {
	ctx, stop := context.WithTimeout(context.Background(), patience)
	defer stop()
	k.leave()
	for len(k.holds()) > 0 && ctx.Err() == nil {
		time.Sleep(2 * time.Millisecond)
	}
	close(k.ends)
	<-k.over
	return nil
}

// work is what is done in the duty of a name.
func (k *keeper) work(name string) work {
	var n int
	if _, err := fmt.Sscanf(name, leasedtask.DrillTaskFormat, &n); err == nil {
		return k.drill
	}
	switch name {
	case leasedtask.BackupTask:
		return k.backups
	case leasedtask.RollingRestartTask:
		return k.conduct
	case leasedtask.EndpointListTask:
		return k.i.lists.keep
	}
	return func(context.Context, *turn) error { return fmt.Errorf("this program knows no duty %q", name) }
}

// drill does nothing, and writes that down: audits look at who did it when.
func (k *keeper) drill(ctx context.Context, t *turn) error {
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if now := consensus.BootTime(); k.i.gate.journal != nil && t.May(now) {
			fmt.Fprintf(k.i.gate.journal, "%d act %s %d\n", now, t.duty, t.number)
		}
	}
}
