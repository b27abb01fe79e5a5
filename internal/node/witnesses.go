package node

import (
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"moorstack/balancer"
	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/netio/eventloop"
	"moorstack/internal/schema"
)

// tellEvery is how often instances tell each other what they have seen of workers, where there is
// anything.
const tellEvery = 250 * time.Millisecond

// witnesses are an instance's part in what the group has seen of workers. All but the counter belongs to
// the node's loop. A front's workers are its own, and so is what was seen of them; only the platform's
// are told.
type witnesses struct {
	i       *Instance
	log     logrus.FieldLogger
	on      bool
	said    bool // the last message had words in it
	own     placement.Session
	view    placement.View
	witness *placement.OutlierQuorum
	shunned map[string]bool
	count   atomic.Int64
	timer   *eventloop.Timer
}

func newWitnesses(i *Instance) *witnesses {
	return &witnesses{i: i, log: i.log.WithField("part", "witnesses"), witness: placement.NewOutlierQuorum()}
}

// configure takes over what the configuration in force says, in the turn in which the fronts run it.
func (w *witnesses) configure(p placement.Policy) {
	if p.OutlierReports == w.on {
		return
	}
	w.on = p.OutlierReports
	w.timer.Stop()
	c := &w.i.node.cores[0]
	if !w.on {
		c.OnAttemptEnd(nil)
		w.shun(nil)
		return
	}
	c.OnAttemptEnd(w.end)
	w.log.Info("what several have seen of a worker is believed")
	w.tick()
}

// read implements follower.
func (w *witnesses) read(d *clusterstate.Document, _ balancer.Settings) func() {
	p := sharesOf(d)
	return func() { w.configure(p) }
}

// stands implements follower.
func (w *witnesses) stands(s consensus.ClusterView) { w.i.node.loop.Post(func() { w.stand(s) }) }

func (w *witnesses) stand(s consensus.ClusterView) {
	// Hazard: this comes with every lease, and who owns what takes thousands of hashes to work out, on
	// the loop.
	if len(s.Views) == 0 && s.Session == w.own {
		return
	}
	w.own = s.Session
	for _, v := range s.Views {
		w.view = v
	}
	w.witness.SetView(placement.NewTable(w.view), w.own)
}

func (w *witnesses) end(name string, res balancer.Result) {
	switch res {
	case balancer.OK,
		balancer.ServerError,
		balancer.TimedOut,
		balancer.ConnectFailed,
		balancer.ConnectionReset:
		w.witness.ObserveAttempt(consensus.BootTime(), name, res != balancer.OK)
	}
}

// tick tells the others, and acts on what they have told.
func (w *witnesses) tick() {
	w.timer = w.i.node.loop.After(tellEvery, w.tick)
	now := consensus.BootTime()
	if words := w.witness.Reports(now); len(words) > 0 || w.said {
		w.said = len(words) > 0
		m := &schema.WitnessMessage{FromEpoch: w.own.Epoch}
		for _, x := range words {
			m.Words = append(m.Words, &schema.WitnessWord{Worker: x.Worker, Bad: uint32(x.Failed),
				All: uint32(x.Attempts)})
		}
		for _, x := range w.i.runner.Status().Members {
			if x.ID != w.own.Member {
				to := clusterstate.Member{ID: x.ID, Name: x.Name, Address: x.Address}
				w.i.network.SendSession(to, &schema.SessionMessage{Witness: m})
			}
		}
	}
	var listed []string
	for _, l := range w.i.node.cores[0].ListedEndpoints() {
		listed = append(listed, l.Name)
	}
	w.shun(w.witness.Ejected(now, listed))
}

func (w *witnesses) shun(names map[string]bool) {
	if maps.Equal(names, w.shunned) {
		return
	}
	w.shunned = names
	w.count.Store(int64(len(names)))
	w.i.node.cores[0].SetEjected(names)
	w.i.gate.note("shuns %d", len(names))
	w.log.WithField("workers", slices.Sorted(maps.Keys(names))).
		Warn("workers at which several instances' jobs fail are given nothing")
}

// heard takes another instance's words. It is called on a goroutine of the peers' network.
func (w *witnesses) heard(from uint64, m *schema.WitnessMessage) {
	words := make([]placement.OutlierReport, 0, len(m.Words))
	for _, x := range m.Words {
		words = append(
			words,
			placement.OutlierReport{Worker: x.Worker, Failed: int(x.Bad), Attempts: int(x.All)},
		)
	}
	w.i.node.loop.Post(func() {
		// Hazard: words of a session that is no more, which came late.
		for _, x := range w.view.Members {
			if w.on && x.Member == from && x.Epoch == m.FromEpoch {
				w.witness.ObserveReports(consensus.BootTime(), from, words)
			}
		}
	})
}
