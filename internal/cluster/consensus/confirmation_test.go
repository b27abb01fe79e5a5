package consensus

import (
	"slices"
	"testing"

	"go.etcd.io/raft/v3"

	"moorstack/internal/cluster/rollout"
)

// confirmationWithRead returns a confirmation whose current read was requested at tick 5 and covers the
// reports of members 1 and 2, and the context of that read.
func confirmationWithRead(t *testing.T) (*leaseConfirmation, []byte) {
	t.Helper()
	c := &leaseConfirmation{waiting: map[uint64]rollout.Report{}}
	c.add(rollout.Report{Member: 1})
	c.add(rollout.Report{Member: 2})
	context, due := c.nextRead(5, 1, 99)
	if !due {
		t.Fatal("no read is requested for waiting reports")
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
	c, context := confirmationWithRead(t)
	if c.confirmed(100) {
		t.Error("confirmed before the read index is known")
	}
	if c.observe(raft.ReadState{Index: 8, RequestCtx: []byte("another")}) {
		t.Error("another read's state is accepted")
	}
	if !c.observe(raft.ReadState{Index: 8, RequestCtx: context}) {
		t.Error("the state of the current read is not accepted")
	}
	if c.confirmed(7) || !c.confirmed(8) {
		t.Error("confirmed before entry 8 is applied, or not confirmed afterwards")
	}
	if got := coveredMembers(c); !slices.Equal(got, []uint64{1, 2}) {
		t.Errorf("the read covers the members %v, want 1 and 2", got)
	}
}

// A report that arrives after the current read was requested is not covered by it: the leader may have been
// deposed in between, and would grant a lease that it has no right to.
func TestLaterReportWaitsForTheNextRead(t *testing.T) {
	c, context := confirmationWithRead(t)
	c.add(rollout.Report{Member: 3})
	if _, due := c.nextRead(6, 1, 99); due {
		t.Error("a second read is requested before the first is finished")
	}
	c.observe(raft.ReadState{Index: 8, RequestCtx: context})
	if got := coveredMembers(c); !slices.Equal(got, []uint64{1, 2}) {
		t.Errorf("the first read covers the members %v, want 1 and 2", got)
	}
	c.finish()
	if _, due := c.nextRead(6, 1, 99); !due {
		t.Error("no read is requested for the later report")
	}
	if got := coveredMembers(c); !slices.Equal(got, []uint64{3}) {
		t.Errorf("the second read covers the members %v, want 3", got)
	}
}

func TestLostReadIsRequestedAgain(t *testing.T) {
	c, lost := confirmationWithRead(t)
	c.add(rollout.Report{Member: 3})
	if _, due := c.nextRead(6, 1, 99); due {
		t.Error("the read is repeated after one tick")
	}
	context, due := c.nextRead(7, 1, 99)
	if !due || slices.Equal(context, lost) {
		t.Fatalf("repeated: %v, want true; same context: %v, want false", due, slices.Equal(context, lost))
	}
	if c.observe(raft.ReadState{Index: 8, RequestCtx: lost}) {
		t.Error("the state of the lost read is accepted for the repeated one")
	}
	if got := coveredMembers(c); !slices.Equal(got, []uint64{1, 2, 3}) {
		t.Errorf("the repeated read covers the members %v, want 1, 2 and 3", got)
	}
}

func TestOneReadATick(t *testing.T) {
	c, context := confirmationWithRead(t)
	c.observe(raft.ReadState{Index: 8, RequestCtx: context})
	c.finish()
	c.add(rollout.Report{Member: 3})
	if _, due := c.nextRead(5, 1, 99); due {
		t.Error("two reads are requested in one tick")
	}
	if _, due := c.nextRead(6, 1, 99); !due {
		t.Error("no read is requested in the next tick")
	}
}

func TestNoReadWithoutReports(t *testing.T) {
	c := &leaseConfirmation{waiting: map[uint64]rollout.Report{}}
	if _, due := c.nextRead(5, 1, 99); due {
		t.Error("a read is requested without waiting reports")
	}
	c, _ = confirmationWithRead(t)
	c.reset()
	if _, due := c.nextRead(9, 1, 99); due {
		t.Error("a read is requested after a reset")
	}
}
