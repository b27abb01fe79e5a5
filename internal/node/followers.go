package node

import (
	"moorstack/balancer"
	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/cluster/schedule"
)

// follower is a part of a node that goes by the agreed document and by who is there.
type follower interface {
	// read takes in what a document that is in force says. The function that it gives takes that over, in
	// the turn in which the fronts run it.
	read(d *clusterstate.Document, set balancer.Settings) func()
	// stands takes the agreement's word on who is there. It is called on the runner's goroutine.
	stands(s consensus.ClusterView)
}

// bearer is a follower that can't keep every document that is valid.
type bearer interface {
	// bears says why a document can't be kept here.
	bears(d *clusterstate.Document) error
}

// followers are those that there are, in the order in which they are told.
func (i *Instance) followers() []follower {
	return []follower{i.rates, i.plans, i.shares, i.words, i.beliefs}
}

// bears says why this instance can't keep what a document says.
func (i *Instance) bears(d *clusterstate.Document) error {
	if err := i.bearsLease(d); err != nil {
		return err
	}
	for _, f := range i.followers() {
		if b, ok := f.(bearer); ok {
			if err := b.bears(d); err != nil {
				return err
			}
		}
	}
	return nil
}

// read has the followers take in a document, and gives what takes it over.
func (i *Instance) read(d *clusterstate.Document, set balancer.Settings) func() {
	var turns []func()
	for _, f := range i.followers() {
		turns = append(turns, f.read(d, set))
	}
	return func() {
		for _, turn := range turns {
			turn()
		}
	}
}

// stands tells the followers who is there.
func (i *Instance) stands(s consensus.ClusterView) {
	for _, f := range i.followers() {
		f.stands(s)
	}
}

// told takes what the subjects have to say. It is called on the runner's goroutine.
func (i *Instance) told(word any) {
	switch word := word.(type) {
	case leasedtask.PlanChanged:
		i.leaves.noted(word)
	case []leasedtask.Lease:
		i.keeper.tell(word)
	case schedule.ClusterClock:
		i.plans.dated(word)
	case []schedule.Event:
		i.plans.audited(word)
	case []schedule.Firing:
		i.plans.fire(word)
	}
}
