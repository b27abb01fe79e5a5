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

// membersPath is the path of discovery's endpoint list; with stream=1 it is a watch of the list's changes.
const membersPath = "/catalog/members"

// discoveryClient is the broker's EndpointSource. It watches discovery's endpoint list and, where a local
// agent relays the list, polls it as well.
type discoveryClient struct {
	front       *Front
	policy      discovery.RefreshPolicy
	generations discovery.GenerationTracker
	watchWanted bool           // the broker requested a watch; with a local agent always true
	watch       *discoveryCall // the open watch; nil: none
	listRelayed bool           // another instance watches discovery and relays the list
	// onUpdate, if not nil, is called with each list update in discovery's format.
	onUpdate func(generation int64, full bool, text []byte)

	// With a local agent: the polls in flight, the timer of the next poll, and the last polled list. Most
	// polls return the same list again, which then need not be parsed.
	polls          map[*discoveryCall]struct{}
	pollTimer      *eventloop.Timer
	retryTimer     *eventloop.Timer // reopens the watch
	lastPolled     []byte
	lastCallFailed bool
}

var _ broker.EndpointSource = (*discoveryClient)(nil)

func newDiscoveryClient(f *Front) *discoveryClient {
	s := &f.cfg.Settings
	return &discoveryClient{
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

// open begins to watch a local agent. Without a local agent, the watch begins when the broker requests it.
//
// Where a local agent pushes lists, the balancer requests none. The simulator pushes lists without a request,
// but here a watch must be opened to receive them.
func (d *discoveryClient) open() {
	if d.policy.LocalAgent {
		d.watchWanted = true
		d.ensureWatch()
	}
}

// WatchList implements broker.EndpointSource. A watch that is already open stays open: the broker may
// request one after a failure although a change of discovery's address has opened one meanwhile.
func (d *discoveryClient) WatchList(on bool) {
	if d.watchWanted = on; on {
		d.ensureWatch()
	} else {
		d.stop()
	}
}

// ensureWatch opens the watch if it is wanted and not open, and begins to poll if there is a local agent.
func (d *discoveryClient) ensureWatch() {
	if !d.watchWanted || d.listRelayed {
		return
	}
	d.retryTimer.Stop()
	if d.watch == nil {
		// The watch resumes after the last known generation, so that changes since then come first.
		d.watch = d.startCall(fmt.Sprintf("%s?stream=1&index=%d", membersPath, d.generations.Generation))
	}
	if d.policy.LocalAgent && d.pollTimer == nil {
		d.poll()
	}
}

// poll requests the full list from the agent, and schedules the next poll regardless of this call's outcome.
// The node is held responsible for every change that the agent knows, and a watch that is open but silent
// would not report that a worker drains.
func (d *discoveryClient) poll() {
	d.polls[d.startCall(membersPath)] = struct{}{}
	d.pollTimer = d.front.loop.After(d.policy.PollInterval(), d.poll)
}

// stop closes the watch and all polls, and stops their timers.
func (d *discoveryClient) stop() {
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

// addressChanged closes all calls to the old address at once and watches the new one, without a request from
// the broker. The old address closes its watches only after a while, and may send no updates before that.
func (d *discoveryClient) addressChanged() {
	d.stop()
	d.generations.Reset(d.front.loop.Now())
	d.ensureWatch()
}

// applyUpdate passes a list or a delta to the broker.
func (d *discoveryClient) applyUpdate(list *workerList) {
	d.front.initial.apply()
	kind := balancer.ListDelta
	if list.Full {
		kind = balancer.ListFull
	}
	d.front.updateEndpoints(kind, list)
	d.front.startTimes.confirm(d.front.loop.Now())
}

// callFailed logs a failed call and schedules the next one. Without a local agent the broker decides when to
// retry.
func (d *discoveryClient) callFailed(err error) {
	if !d.policy.LocalAgent {
		d.front.log.WithError(err).Warn("discovery call failed")
		d.front.broker.UpdateEndpoints(balancer.ListUnavailable, nil)
		return
	}
	if !d.lastCallFailed { // polls are frequent: log only the first of a series of failures
		d.front.log.WithError(err).Warn("discovery call failed")
	}
	d.lastCallFailed = true
	if d.watch == nil {
		d.retryTimer.Stop()
		d.retryTimer = d.front.loop.After(d.policy.PollInterval(), d.ensureWatch)
	}
}

// SetListRelayed sets whether another instance relays the endpoint list to this one, which then does not call
// discovery itself.
func (f *Front) SetListRelayed(on bool) {
	d := f.discovery
	if d.listRelayed == on {
		return
	}
	if d.listRelayed = on; on {
		d.stop()
	} else {
		d.ensureWatch()
	}
}

// WatchesDiscovery reports whether this front watches discovery, has heard of it within the time between two
// heartbeats, and has received a list from it. Without the second condition, a front whose watch has fallen
// silent would relay a list that is out of date, and without the third, one that has just started an empty
// one.
func (f *Front) WatchesDiscovery() bool {
	d := f.discovery
	return d.watch != nil && !d.watch.closed && d.watch.parser.HeadComplete() &&
		f.loop.Now()-d.watch.heardAt <= discovery.WatchCurrentTime &&
		d.generations.Generation > 0 &&
		!f.initial.pending
}

// OnListUpdate sets the function that is called on the event loop with each list update in discovery's
// format; nil: none.
func (f *Front) OnListUpdate(notify func(generation int64, full bool, text []byte)) {
	f.discovery.onUpdate = notify
}

// ApplyList applies a list or a delta that another instance has received from discovery and relays. It fails
// with a *discovery.StaleListError if this front has a newer one.
func (f *Front) ApplyList(text []byte) error {
	var list workerList
	if err := json.Unmarshal(text, &list); err != nil {
		return fmt.Errorf("decoding a relayed list: %w", err)
	}
	if err := f.discovery.generations.AcceptRelayed(list.Generation); err != nil {
		return err
	}
	f.discovery.applyUpdate(&list)
	return nil
}

// FullList returns the endpoint list known here, in discovery's format, and its generation.
func (f *Front) FullList() (generation int64, text []byte, err error) {
	list := workerList{Generation: f.discovery.generations.Generation, Full: true, Workers: []workerEntry{}}
	for _, id := range slices.Sorted(maps.Keys(f.entries)) {
		list.Workers = append(list.Workers, f.entries[id])
	}
	text, err = json.Marshal(list)
	return list.Generation, text, err
}
