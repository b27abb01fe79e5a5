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

// subscriberBuffer is how many updates are queued for a subscriber. One that falls further behind is dropped,
// and subscribes again.
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
	run         *taskRun // of the task; nil: its lease is not held here
	publisher   listrelay.Publisher
	subscribers map[chan listrelay.EndpointListUpdate]bool
}

func newListServer(env *environment) *listServer {
	return &listServer{env: env, subscribers: map[chan listrelay.EndpointListUpdate]bool{}}
}

// runTask implements taskFunc: it publishes what discovery sends to this instance.
func (s *listServer) runTask(ctx context.Context, r *taskRun) error {
	s.mu.Lock()
	s.run, s.publisher = r, listrelay.Publisher{}
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

// superviseWatch waits until the lease ends. It fails if this instance has not been watching discovery for
// twice listrelay.SilenceTimeout, so that another instance tries; meanwhile each polls discovery directly.
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
		// While the watch is down no heartbeats may be sent: they would claim that nothing has changed, which
		// this instance can't know.
		s.stale.Store(!watched)
	}
}

// publish sends discovery's text to the subscribers. It is called on the loop and never blocks: a subscriber
// that is too slow is dropped.
func (s *listServer) publish(generation int64, complete bool, payload []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.run == nil {
		return
	}
	update := s.publisher.Publish(generation, complete, append([]byte{}, payload...))
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

// subscription is another instance's subscription to the endpoint list.
type subscription struct {
	server         *listServer
	run            *taskRun
	updates        chan listrelay.EndpointListUpdate
	lastGeneration int64 // the last generation that was sent
}

// serve sends another instance the list and its changes until this instance stops relaying it. It is called
// on a goroutine of the transport.
func (s *listServer) serve(ctx context.Context, send func(*schema.ListNews) error) error {
	sub, first, err := s.subscribe(ctx)
	if err != nil {
		return err
	}
	defer s.unsubscribe(sub)
	return sub.forward(ctx, first, send)
}

// subscribe returns a subscription and the complete list that it starts with.
func (s *listServer) subscribe(ctx context.Context) (*subscription, listrelay.EndpointListUpdate, error) {
	sub := &subscription{server: s, updates: make(chan listrelay.EndpointListUpdate, subscriberBuffer)}
	var first listrelay.EndpointListUpdate
	var err error
	// The list is read and the subscription registered in one turn, so that no change in between is missed.
	if loopErr := s.env.onLoop(ctx, func() { first, err = s.register(sub) }); loopErr != nil {
		// first and err can't be read: the function posted to the loop may still write them.
		return nil, listrelay.EndpointListUpdate{}, loopErr
	}
	return sub, first, err
}

// register adds a subscription and returns the complete list. It is called on the loop.
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

// forward sends the first update and those that follow, with heartbeats in between.
func (sub *subscription) forward(ctx context.Context, update listrelay.EndpointListUpdate,
	send func(*schema.ListNews) error) error {
	heartbeat := time.NewTicker(listrelay.HeartbeatInterval)
	defer heartbeat.Stop()
	for ok := true; ; {
		// The lease is checked immediately before each message. If it expires while a message is sent, the
		// receiver still has the fencing token to check.
		if !ok || !sub.run.Valid(consensus.BootTime()) {
			return errNotRelayed
		}
		if err := send(encodeListUpdate(update)); err != nil {
			return err
		}
		sub.lastGeneration = update.Generation
		select {
		case <-ctx.Done():
			return ctx.Err()
		case update, ok = <-sub.updates:
		case <-heartbeat.C:
			if sub.server.stale.Load() {
				return errNotRelayed
			}
			update = listrelay.EndpointListUpdate{FencingToken: sub.run.token, Generation: sub.lastGeneration,
				PreviousGeneration: sub.lastGeneration}
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
