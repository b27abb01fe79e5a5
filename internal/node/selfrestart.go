package node

import (
	"errors"
	"os"
	"sync/atomic"
	"syscall"

	"github.com/sirupsen/logrus"

	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/cluster/rollingrestart"
)

// Values of the setting duties.out: how a rolling restart restarts the process.
const (
	restartByExit  = "end"   // the process ends, and its supervisor starts the program again
	restartInPlace = "start" // the process starts the program in its own place
)

// ErrRestart is returned by Instance.Run if the caller must start the program again in place of this process.
var ErrRestart = errors.New("the program must be started again in place of this process")

// signalBuffer is how many signals may be queued; fewer than this arrive at once.
const signalBuffer = 4

// selfRestart ends this instance's process when the agreed plan of a rolling restart requires it.
type selfRestart struct {
	audit       *auditLog
	log         logrus.FieldLogger
	inPlace     bool // the program must be started again in place of this process
	signals     chan os.Signal
	restarting  atomic.Bool // required by the plan
	stopOrdered atomic.Bool // an external signal has ordered the process to end
}

func newSelfRestart(env *environment, setting string) *selfRestart {
	return &selfRestart{audit: env.audit, log: env.component("rollingrestart"),
		inPlace: setting == restartInPlace, signals: make(chan os.Signal, signalBuffer)}
}

// planChanged receives the agreed plan. It is called on the runner's goroutine.
//
// The plan may be read late, or again after a start, so a step applies to one incarnation of the instance
// only.
func (s *selfRestart) planChanged(n leasedtask.PlanChanged) {
	plan, err := rollingrestart.DecodePlan(n.Note)
	if err != nil || !plan.MustRestart(n.Member, n.Incarnation) || s.restarting.Swap(true) {
		return
	}
	s.log.WithField("author", plan.Author).Info("process ends for a rolling restart")
	s.audit.write("out %d", plan.MaxUnavailable)
	s.signals <- syscall.SIGTERM
}

// mergeSignals returns a channel with the external signals and those of the plan. The goroutine that it
// starts ends with the process, or when the channel of external signals is closed.
func (s *selfRestart) mergeSignals(external <-chan os.Signal) <-chan os.Signal {
	go func() {
		for sig := range external {
			// The sender of a signal that ends the process waits for the end, and expects no other process
			// in its place.
			if sig != syscall.SIGHUP {
				s.stopOrdered.Store(true)
			}
			s.signals <- sig
		}
	}()
	return s.signals
}

// shouldRestart reports whether the program must be started again in place of this process.
func (s *selfRestart) shouldRestart() bool {
	return s.restarting.Load() && !s.stopOrdered.Load() && s.inPlace
}
