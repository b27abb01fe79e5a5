package platform

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"moorstack/balancer"
	"moorstack/internal/cluster/discovery"
	"moorstack/internal/netio/eventloop"
	"moorstack/internal/proxy/broker"
)

// membersPath is discovery's resource: the endpoint list, or with stream=1 a watch of its changes.
const membersPath = "/catalog/members"

// directory is the broker's EndpointSource: it watches discovery, and polls it where a local agent relays
// the list.
type directory struct {
	front       *Front
	policy      discovery.RefreshPolicy
	generations discovery.GenerationTracker
	watchWanted bool           // the broker wants a watch; one of a local agent is always wanted
	watch       *discoveryCall // nil: none is open
	fedByPeer   bool           // another instance watches discovery, and relays the list to this one
	// onUpdate is notified of each list update in discovery's form; nil: nobody is.
	onUpdate func(generation int64, full bool, text []byte)

	// With a local agent: the polls in flight, the timer of the next one, and the list that was polled last,
	// since most are equal.
	polls          map[*discoveryCall]struct{}
	pollTimer      *eventloop.Timer
	retryTimer     *eventloop.Timer // of the watch
	lastPolled     []byte
	lastCallFailed bool
}

var _ broker.EndpointSource = (*directory)(nil)

func newDirectory(f *Front) *directory {
	s := &f.cfg.Settings
	return &directory{
		front:       f,
		polls:       map[*discoveryCall]struct{}{},
		generations: discovery.GenerationTracker{Generation: f.cfg.InitialList.Generation},
		policy: discovery.RefreshPolicy{
			LocalAgent: s.ListMode == "pushed",
			DrainGrace: time.Duration(s.Rules.DrainGrace),
			NodeIndex:  s.DispatcherIndex,
			FleetSize:  s.DispatcherCount,
		},
	}
}

// open begins to watch a local agent. Discovery itself is watched once the broker requests it.
//
// Hazard: the balancer requests nothing where a local agent pushes lists, and the simulator pushes them
// unasked. Here the watch must be opened.
func (d *directory) open() {
	if d.policy.LocalAgent {
		d.watchWanted = true
		d.ensureWatch()
	}
}

// WatchList implements broker.EndpointSource. A watch that is open stays open: the broker may request
// another after a failure that a change of discovery's address has mended meanwhile.
func (d *directory) WatchList(on bool) {
	if d.watchWanted = on; on {
		d.ensureWatch()
	} else {
		d.stop()
	}
}

// ensureWatch opens the watch if it is wanted and not open, and begins to poll a local agent.
func (d *directory) ensureWatch() {
	if !d.watchWanted || d.fedByPeer {
		return
	}
	d.retryTimer.Stop()
	if d.watch == nil {
		// It resumes after the last update: what was announced meanwhile comes first.
		d.watch = d.startCall(fmt.Sprintf("%s?stream=1&index=%d", membersPath, d.generations.Generation))
	}
	if d.policy.LocalAgent && d.pollTimer == nil {
		d.poll()
	}
}

// poll requests the whole list from the agent, and again after an interval, whatever becomes of this call.
//
// Hazard: a watch that is open and silent announces no drain, and what the agent has counts as announced.
func (d *directory) poll() {
	d.polls[d.startCall(membersPath)] = struct{}{}
	d.pollTimer = d.front.loop.After(d.policy.PollInterval(), d.poll)
}

// stop ends the watch and the polls.
func (d *directory) stop() {
	d.pollTimer.Stop()
	d.retryTimer.Stop()
	d.pollTimer, d.lastPolled = nil, nil
	for c := range d.polls {
		c.close()
	}
	clear(d.polls)
	if d.watch != nil {
		d.watch.close()
		d.watch = nil
	}
}

// addressChanged leaves the old address at once, without a request of the broker: the old one closes its
// watches only after a while, and its updates may end before.
func (d *directory) addressChanged() {
	d.stop()
	d.generations.Reset(d.front.loop.Now())
	d.ensureWatch()
}

// applyUpdate passes a list, or a delta of it, to the broker.
func (d *directory) applyUpdate(list *workerList) {
	d.front.initial.release()
	kind := balancer.ListDelta
	if list.Full {
		kind = balancer.ListFull
	}
	d.front.updateEndpoints(kind, list)
	d.front.startTimes.confirm(d.front.loop.Now())
}

// callFailed schedules the next call. Where there is no local agent the broker chooses when.
func (d *directory) callFailed(err error) {
	if !d.policy.LocalAgent {
		d.front.log.WithError(err).Warn("discovery call failed")
		d.front.broker.UpdateEndpoints(balancer.ListUnavailable, nil)
		return
	}
	if !d.lastCallFailed { // it is polled often: one line of the log is enough
		d.front.log.WithError(err).Warn("discovery call failed")
	}
	d.lastCallFailed = true
	if d.watch == nil {
		d.retryTimer.Stop()
		d.retryTimer = d.front.loop.After(d.policy.PollInterval(), d.ensureWatch)
	}
}

// SetFedByPeer sets whether another instance relays the list to this one, which then makes no calls of
// discovery.
func (f *Front) SetFedByPeer(on bool) {
	d := f.directory
	if d.fedByPeer == on {
		return
	}
	if d.fedByPeer = on; on {
		d.stop()
	} else {
		d.ensureWatch()
	}
}

// WatchesDiscovery reports whether this front watches discovery, and has received a list from it.
//
// Hazard: a front that has just started has no list, and would relay an empty one.
func (f *Front) WatchesDiscovery() bool {
	d := f.directory
	return d.watch != nil && !d.watch.closed && d.watch.parser.HeadComplete() &&
		d.generations.Generation > 0 &&
		!f.initial.pending
}

// OnListUpdate sets the function that is notified of each list update, on the loop, in discovery's form;
// nil: none is.
func (f *Front) OnListUpdate(notify func(generation int64, full bool, text []byte)) {
	f.directory.onUpdate = notify
}

// ApplyList applies a list, or a delta of it, that another instance has received from discovery and relays.
func (f *Front) ApplyList(text []byte) error {
	var list workerList
	if err := json.Unmarshal(text, &list); err != nil {
		return fmt.Errorf("decoding a relayed list: %w", err)
	}
	// The instance that relays it has accepted it already, in the order of generations.
	f.directory.generations.Generation = list.Generation
	f.directory.applyUpdate(&list)
	return nil
}

// FullList returns the list as it is known here, in discovery's form, and its generation.
func (f *Front) FullList() (generation int64, text []byte, err error) {
	list := workerList{Generation: f.directory.generations.Generation, Full: true, Workers: []workerEntry{}}
	for _, id := range slices.Sorted(maps.Keys(f.entries)) {
		list.Workers = append(list.Workers, f.entries[id])
	}
	text, err = json.Marshal(list)
	return list.Generation, text, err
}
