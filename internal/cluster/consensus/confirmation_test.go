package consensus

import (
	"slices"
	"testing"

	"go.etcd.io/raft/v3"

	"moorstack/internal/cluster/rollout"
)

// confirmationAt5 is a confirmation that waits for reports of members 1 and 2, with the context of the read
// that was requested at tick 5.
func confirmationAt5(t *testing.T) (*leaseConfirmation, []byte) {
	t.Helper()
	c := &leaseConfirmation{waiting: map[uint64]rollout.Report{}}
	c.add(rollout.Report{Member: 1})
	c.add(rollout.Report{Member: 2})
	context, due := c.next(5, 1, 99)
	if !due {
		t.Fatal("no read is requested for reports that wait")
	}
	return c, context
}

func coveredMembers(c *leaseConfirmation) []uint64 {
	var list []uint64
	for id := range c.covered {
		list = append(list, id)
	}
	slices.Sort(list)
	return list
}

func TestLeasesAreConfirmedOnceTheReadIsApplied(t *testing.T) {
	c, context := confirmationAt5(t)
	if c.confirmed(100) {
		t.Error("confirmed before the index of the read is known")
	}
	if c.observe(raft.ReadState{Index: 8, RequestCtx: []byte("another")}) {
		t.Error("another read is taken for it")
	}
	if !c.observe(raft.ReadState{Index: 8, RequestCtx: context}) {
		t.Error("its own read is not recognised")
	}
	if c.confirmed(7) || !c.confirmed(8) {
		t.Error("not confirmed exactly once entry 8 is applied")
	}
	if got := coveredMembers(c); !slices.Equal(got, []uint64{1, 2}) {
		t.Errorf("it covers %v", got)
	}
}

// A report that comes while a read is under way is no part of it: the leader may have been deposed between.
func TestLaterReportWaitsForTheNextRead(t *testing.T) {
	c, context := confirmationAt5(t)
	c.add(rollout.Report{Member: 3})
	if _, due := c.next(6, 1, 99); due {
		t.Error("a second read is requested while one is under way")
	}
	c.observe(raft.ReadState{Index: 8, RequestCtx: context})
	if got := coveredMembers(c); !slices.Equal(got, []uint64{1, 2}) {
		t.Errorf("the read covers %v", got)
	}
	c.finish()
	if _, due := c.next(6, 1, 99); !due {
		t.Error("no read is requested for the later report")
	}
	if got := coveredMembers(c); !slices.Equal(got, []uint64{3}) {
		t.Errorf("the second read covers %v", got)
	}
}

func TestLostReadIsRequestedAgain(t *testing.T) {
	c, lost := confirmationAt5(t)
	c.add(rollout.Report{Member: 3})
	if _, due := c.next(6, 1, 99); due {
		t.Error("requested again after one tick")
	}
	context, due := c.next(7, 1, 99)
	if !due || slices.Equal(context, lost) {
		t.Fatalf("requested again: %v, with the same context: %v", due, slices.Equal(context, lost))
	}
	if c.observe(raft.ReadState{Index: 8, RequestCtx: lost}) {
		t.Error("the lost read is taken for its successor")
	}
	if got := coveredMembers(c); !slices.Equal(got, []uint64{1, 2, 3}) {
		t.Errorf("the second read covers %v", got)
	}
}

func TestOneReadATick(t *testing.T) {
	c, context := confirmationAt5(t)
	c.observe(raft.ReadState{Index: 8, RequestCtx: context})
	c.finish()
	c.add(rollout.Report{Member: 3})
	if _, due := c.next(5, 1, 99); due {
		t.Error("two reads are requested in one tick")
	}
	if _, due := c.next(6, 1, 99); !due {
		t.Error("none is requested in the next tick")
	}
}

func TestNoReadWithoutReports(t *testing.T) {
	c := &leaseConfirmation{waiting: map[uint64]rollout.Report{}}
	if _, due := c.next(5, 1, 99); due {
		t.Error("a read is requested though nothing waits")
	}
	c, _ = confirmationAt5(t)
	c.reset()
	if _, due := c.next(9, 1, 99); due {
		t.Error("a read is requested after a reset")
	}
}
