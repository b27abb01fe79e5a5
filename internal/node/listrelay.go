package node

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/listrelay"
	"moorstack/internal/schema"
)

// subscriberBuffer is how many updates wait for a subscriber; one that is slower is dropped, and subscribes
// again.
const subscriberBuffer = 256

var (
	errNotRelayed      = errors.New("the endpoint list is not relayed here")
	errDiscoverySilent = errors.New("discovery sends nothing to this instance")
)

// listServer relays the endpoint list to the other instances while this one holds the lease of that task.
// Its methods may be called from any goroutine.
type listServer struct {
	env *environment

	stale       atomic.Bool // this instance's own watch of discovery is down
	mu          sync.Mutex
	run         *taskRun // of the task, while its lease is held here
	relay       listrelay.Publisher
	subscribers map[chan listrelay.EndpointListUpdate]bool
}

func newListServer(env *environment) *listServer {
	return &listServer{env: env, subscribers: map[chan listrelay.EndpointListUpdate]bool{}}
}

// runTask is a taskFunc: what discovery sends to this instance goes to the subscribers.
func (s *listServer) runTask(ctx context.Context, r *taskRun) error {
	s.mu.Lock()
	s.run, s.relay = r, listrelay.Publisher{}
	s.mu.Unlock()
	s.stale.Store(true) // until discovery has sent something
	front := s.env.node.front
	if err := s.env.onLoop(ctx, func() {
		front.SetListRelayed(false)
		front.OnListUpdate(s.publish)
	}); err != nil {
		return nil
	}
	err := s.superviseWatch(ctx)
	s.env.loop().Post(func() { front.OnListUpdate(nil) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.run = nil
	for c := range s.subscribers {
		close(c)
	}
	clear(s.subscribers)
	return err
}

// superviseWatch waits until the lease ends, or discovery has sent nothing to this instance for long: then it
// fails, so that another instance tries, and meanwhile each polls by itself.
func (s *listServer) superviseWatch(ctx context.Context) error {
	tick := time.NewTicker(listrelay.HeartbeatInterval)
	defer tick.Stop()
	for lastWatched := time.Now(); ; {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		watched := false
		if s.env.onLoop(ctx, func() { watched = s.env.node.front.WatchesDiscovery() }) != nil {
			return nil
		}
		if watched {
			lastWatched = time.Now()
		}
		if time.Since(lastWatched) > 2*listrelay.SilenceTimeout {
			return errDiscoverySilent
		}
		// Hazard: heartbeats would claim that nothing has changed, and this instance does not know.
		s.stale.Store(!watched)
	}
}

// publish takes discovery's text, on the loop. It never waits: a subscriber that is too slow is dropped.
func (s *listServer) publish(generation int64, whole bool, text []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.run == nil {
		return
	}
	update := s.relay.Publish(generation, whole, append([]byte{}, text...))
	update.FencingToken = s.run.token
	for c := range s.subscribers {
		select {
		case c <- update:
		default:
			delete(s.subscribers, c)
			close(c)
		}
	}
}

// subscription is one instance's.
type subscription struct {
	server  *listServer
	run     *taskRun
	updates chan listrelay.EndpointListUpdate
	newest  int64 // generation that was sent
}

// serve sends another instance the list and its changes, until this one relays it no more. It is called on a
// goroutine of the transport.
func (s *listServer) serve(ctx context.Context, send func(*schema.ListNews) error) error {
	sub, first, err := s.subscribe(ctx)
	if err != nil {
		return err
	}
	defer s.unsubscribe(sub)
	return sub.forward(ctx, first, send)
}

// subscribe returns a subscription and the complete list that it begins with.
func (s *listServer) subscribe(ctx context.Context) (*subscription, listrelay.EndpointListUpdate, error) {
	sub := &subscription{server: s, updates: make(chan listrelay.EndpointListUpdate, subscriberBuffer)}
	var first listrelay.EndpointListUpdate
	var err error
	// The complete list and the changes after it are taken up in one turn: none is missed between.
	if bad := s.env.onLoop(ctx, func() { first, err = s.register(sub) }); bad != nil {
		// Hazard: the turn may be yet to come: first and err are its own.
		return nil, listrelay.EndpointListUpdate{}, bad
	}
	return sub, first, err
}

// register is called on the loop.
func (s *listServer) register(sub *subscription) (first listrelay.EndpointListUpdate, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	front := s.env.node.front
	if sub.run = s.run; sub.run == nil || !front.WatchesDiscovery() || !sub.run.Valid(consensus.BootTime()) {
		return first, errNotRelayed
	}
	first = listrelay.EndpointListUpdate{FencingToken: sub.run.token, Complete: true}
	if first.Generation, first.Payload, err = front.FullList(); err != nil {
		return first, err
	}
	s.subscribers[sub.updates] = true
	return first, nil
}

func (s *listServer) unsubscribe(sub *subscription) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.subscribers, sub.updates)
}

// forward sends updates, and heartbeats between them.
func (sub *subscription) forward(ctx context.Context, update listrelay.EndpointListUpdate,
	send func(*schema.ListNews) error) error {
	heartbeat := time.NewTicker(listrelay.HeartbeatInterval)
	defer heartbeat.Stop()
	for ok := true; ; {
		// Hazard: the lease is checked right before each message; what leaves all the same carries the
		// fencing token.
		if !ok || !sub.run.Valid(consensus.BootTime()) {
			return errNotRelayed
		}
		if err := send(encodeListUpdate(update)); err != nil {
			return err
		}
		sub.newest = update.Generation
		select {
		case <-ctx.Done():
			return ctx.Err()
		case update, ok = <-sub.updates:
		case <-heartbeat.C:
			if sub.server.stale.Load() {
				return errNotRelayed
			}
			update = listrelay.EndpointListUpdate{FencingToken: sub.run.token, Generation: sub.newest,
				PreviousGeneration: sub.newest}
		}
	}
}

func encodeListUpdate(u listrelay.EndpointListUpdate) *schema.ListNews {
	return &schema.ListNews{Number: u.FencingToken, Generation: u.Generation, Previous: u.PreviousGeneration,
		Whole: u.Complete, Text: u.Payload}
}

func decodeListUpdate(m *schema.ListNews) listrelay.EndpointListUpdate {
	return listrelay.EndpointListUpdate{FencingToken: m.Number, Generation: m.Generation,
		PreviousGeneration: m.Previous, Complete: m.Whole, Payload: m.Text}
}
