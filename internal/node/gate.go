package node

import (
	"fmt"
	"os"
	"sync/atomic"
	"time"

	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/rollout"
	"moorstack/internal/proxy/broker"
)

// gate lets jobs in while this instance may admit them. It belongs to the node's loop; only
// what it refused may be asked for from elsewhere.
type gate struct {
	permit  rollout.Permit
	running uint64 // the revision that the fronts run; 0: none that was agreed on
	lease   time.Duration
	refused atomic.Uint64
	journal *os.File // what it admits, for audits; nil: none
	rates   *rates   // nil: no rate is kept over all fronts
	shares  *shares
}

var _ broker.AdmissionController = (*gate)(nil)

// closed is the gate of an instance that has not heard from its group.
func closed() *gate {
	return &gate{
		permit: rollout.Permit{ClosedReason: "this instance belongs to no group yet"},
		lease:  time.Second,
	}
}

// Admit implements core.Gate.
func (g *gate) Admit(t *broker.Request) (broker.Rejection, bool) {
	// Hazard: the process may have stood still for long, with this job in its buffers. The clock
	// is read here and now, whatever any timer has said, and this moment is when the job is
	// admitted or not.
	now := consensus.BootTime()
	g.shares.look(now)
	if g.permit.Admits(now, g.running) {
		if no, ok := g.rates.take(now, t); !ok {
			return no, false
		}
		if g.journal != nil {
			fmt.Fprintf(g.journal, "%d admit %d %s\n", now, g.running, t.ID)
		}
		return broker.Rejection{}, true
	}
	g.refused.Add(1)
	return broker.Rejection{Reason: g.why(), RetryAfter: g.after()}, false
}

func (g *gate) why() string {
	switch {
	case g.permit.ClosedReason != "":
		return g.permit.ClosedReason
	case g.permit.Revision != g.running:
		return fmt.Sprintf("revision %d is in force, and %d runs here", g.permit.Revision, g.running)
	}
	return "its lease has run out"
}

// after is when to come back: a change takes hold soon, a lost leader takes about a lease.
func (g *gate) after() time.Duration {
	if g.permit.Change != "" {
		return 50 * time.Millisecond
	}
	return g.lease
}

// opened notes that jobs may come in from this turn on: the permit and the fronts go by the same
// revision.
func (g *gate) opened() {
	if g.permit.Open && g.permit.Revision == g.running && (g.permit.NoExpiry || g.permit.ExpiresAt > 0) {
		g.note("open %d", g.running)
	}
}

// note writes a line of the journal.
func (g *gate) note(format string, args ...any) {
	if g.journal != nil {
		fmt.Fprintf(g.journal, "%d %s\n", consensus.BootTime(), fmt.Sprintf(format, args...))
	}
}
