package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/cluster/listrelay"
	"moorstack/internal/schema"
)

// hub is an instance's part in the list: it keeps it for the others while it holds that duty, and
// follows who does while it does not.
type hub struct {
	i    *Instance
	log  logrus.FieldLogger
	end  context.CancelFunc
	ctx  context.Context
	over chan struct{}

	deaf  atomic.Bool // the keeper's own watch is down
	mu    sync.Mutex
	turn  *turn // of the duty, while it is held here
	told  listrelay.Publisher
	heard map[chan listrelay.EndpointListUpdate]bool // by whom, while it is
}

func newHub(i *Instance) *hub {
	h := &hub{i: i, log: i.log.WithField("part", "list"), over: make(chan struct{}),
		heard: map[chan listrelay.EndpointListUpdate]bool{}}
	h.ctx, h.end = context.WithCancel(context.Background())
	return h
}

func (h *hub) stop() error {
	h.end()
	<-h.over
	return nil
}

// onLoop runs something on the loop, and waits.
func (h *hub) onLoop(ctx context.Context, f func()) error {
	done := make(chan struct{})
	h.i.node.loop.Post(func() { f(); close(done) })
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// keep is the duty's work: what discovery tells this instance is told to the others.
func (h *hub) keep(ctx context.Context, t *turn) error {
	h.mu.Lock()
	h.turn, h.told = t, listrelay.Publisher{}
	h.mu.Unlock()
	h.deaf.Store(true) // until discovery has spoken
	if err := h.onLoop(ctx, func() {
		h.i.node.front.SetFedByPeer(false)
		h.i.node.front.OnListUpdate(h.pass)
	}); err != nil {
		return nil
	}
	err := h.watch(ctx)
	h.i.node.loop.Post(func() { h.i.node.front.OnListUpdate(nil) })
	h.mu.Lock()
	defer h.mu.Unlock()
	h.turn = nil
	for c := range h.heard {
		close(c)
	}
	clear(h.heard)
	return err
}

// watch waits until the duty ends, or discovery has not spoken to this instance for long: then it is
// for another to try, and meanwhile each asks by itself.
func (h *hub) watch(ctx context.Context) error {
	tick := time.NewTicker(listrelay.HeartbeatInterval)
	defer tick.Stop()
	for spoke := time.Now(); ; {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		watched := false
		if h.onLoop(ctx, func() { watched = h.i.node.front.WatchesDiscovery() }) != nil {
			return nil
		}
		if watched {
			spoke = time.Now()
		}
		if time.Since(spoke) > 2*listrelay.SilenceTimeout {
			return errors.New("discovery does not speak to this instance")
		}
		// Hazard: its beats would say that nothing has changed, and it does not know.
		h.deaf.Store(!watched)
	}
}

// pass takes discovery's words, on the loop. It never waits: who is too slow begins anew.
func (h *hub) pass(generation int64, whole bool, text []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.turn == nil {
		return
	}
	n := h.told.Publish(generation, whole, append([]byte{}, text...))
	n.FencingToken = h.turn.number
	for c := range h.heard {
		select {
		case c <- n:
		default:
			delete(h.heard, c)
			close(c)
		}
	}
}

var errNotKept = errors.New("the list is not kept here")

// tell tells another instance the list, until this one keeps it no more.
func (h *hub) tell(ctx context.Context, send func(*schema.ListNews) error) error {
	c := make(chan listrelay.EndpointListUpdate, 256)
	var t *turn
	var first listrelay.EndpointListUpdate
	var err error
	// The whole list and the changes after it are taken up in one turn: none is missed between.
	if bad := h.onLoop(ctx, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if t = h.turn; t == nil || !h.i.node.front.WatchesDiscovery() || !t.May(consensus.BootTime()) {
			err = errNotKept
			return
		}
		first = listrelay.EndpointListUpdate{FencingToken: t.number, Complete: true}
		if first.Generation, first.Payload, err = h.i.node.front.FullList(); err == nil {
			h.heard[c] = true
		}
	}); bad != nil || err != nil {
		return errors.Join(bad, err)
	}
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.heard, c)
	}()
	beat := time.NewTicker(listrelay.HeartbeatInterval)
	defer beat.Stop()
	var newest int64
	for n, ok := first, true; ; {
		// Hazard: the look comes right before each word; what leaves all the same carries the number.
		if !ok || !t.May(consensus.BootTime()) {
			return errNotKept
		}
		if err := send(&schema.ListNews{Number: n.FencingToken, Generation: n.Generation,
			Previous: n.PreviousGeneration,
			Whole:    n.Complete, Text: n.Payload}); err != nil {
			return err
		}
		newest = n.Generation
		select {
		case <-ctx.Done():
			return ctx.Err()
		case n, ok = <-c:
		case <-beat.C:
			if h.deaf.Load() {
				return errNotKept
			}
			n = listrelay.EndpointListUpdate{
				FencingToken:       t.number,
				Generation:         newest,
				PreviousGeneration: newest,
			}
		}
	}
}

// follow has this instance be given the list by who keeps it, and asks discovery by itself while
// that fails.
func (h *hub) follow() {
	defer close(h.over)
	f := listrelay.NewSubscriber(consensus.BootTime(), rand.Float64())
	alone := true
	for h.ctx.Err() == nil {
		keeper, number, ok := h.keeperNow()
		if ok {
			f.ObserveFencingToken(number)
			// The stream ends by itself when the keeper is silent for too long.
			err := h.listen(f, keeper, &alone)
			h.log.WithError(err).WithField("keeper",
				keeper.Name).Debug("the list's keeper is not heard any more")
		}
		h.alone(f, !ok, &alone)
		select {
		case <-h.ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// alone goes back to asking discovery, where it is time: at once where nobody keeps the list.
func (h *hub) alone(f *listrelay.Subscriber, nobody bool, alone *bool) {
	if *alone || !nobody && !f.ShouldPoll(consensus.BootTime()) {
		return
	}
	f.Invalidate()
	if h.onLoop(h.ctx, func() { h.i.node.front.SetFedByPeer(false) }) == nil {
		*alone = true
		h.log.Info("this instance asks discovery by itself")
	}
}

// keeperNow is who keeps the list, unless that is this instance, or nobody, or the configuration has
// no such duty.
func (h *hub) keeperNow() (m clusterstate.Member, number uint64, ok bool) {
	ctx, stop := context.WithTimeout(h.ctx, time.Second)
	defer stop()
	_ = h.i.runner.View(ctx, func(s *clusterstate.State) {
		d := s.LeasedTasks().Tasks[leasedtask.EndpointListTask]
		if d == nil || !d.IsHeld() || d.HolderName == h.i.cfg.Name {
			return
		}
		m, ok = s.Member(d.Holder.Member)
		number = d.FencingToken
	})
	return m, number, ok
}

// listen takes what a keeper tells, until it is silent or says what can't be.
func (h *hub) listen(f *listrelay.Subscriber, keeper clusterstate.Member, alone *bool) error {
	ctx, stop := context.WithCancelCause(h.ctx)
	defer stop(nil)
	silent := errors.New("the keeper is silent")
	late := time.AfterFunc(listrelay.SilenceTimeout, func() { stop(silent) })
	defer late.Stop()
	go func() {
		// Another may keep it by now, and this one go on telling for as long as it does not know.
		for ctx.Err() == nil {
			if now, _, ok := h.keeperNow(); !ok || now.ID != keeper.ID {
				stop(errors.New("another keeps the list"))
			}
			select {
			case <-ctx.Done():
			case <-time.After(listrelay.HeartbeatInterval):
			}
		}
	}()
	return h.i.network.WatchEndpointLists(ctx, keeper, func(m *schema.ListNews) error {
		late.Reset(listrelay.SilenceTimeout)
		take, err := f.Receive(
			consensus.BootTime(),
			listrelay.EndpointListUpdate{FencingToken: m.Number, Generation: m.Generation,
				PreviousGeneration: m.Previous, Complete: m.Whole, Payload: m.Text},
		)
		if err != nil || !take && !*alone {
			return err
		}
		if bad := h.onLoop(ctx, func() {
			if take {
				err = h.i.node.front.ApplyList(m.Text)
			}
			if err == nil {
				h.i.node.front.SetFedByPeer(true)
			}
		}); bad != nil || err != nil {
			f.Invalidate()
			return errors.Join(bad, err)
		}
		if *alone = false; m.Whole {
			h.log.WithFields(logrus.Fields{"keeper": keeper.Name, "generation": m.Generation}).
				Info("another instance gives this one the list")
		}
		return nil
	})
}
