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

// The values of the setting duties.out: what becomes of a process that a rolling restart
// takes out.
const (
	restartByEnding   = "end"   // whoever runs the process starts the program again
	restartByStarting = "start" // the process starts the program in its own place
)

// ErrRestart is returned by Instance.Run when the program is to be started again in the place of this
// process.
var ErrRestart = errors.New("the program is to be started again in the place of this process")

// signalBuffer is how many signals may wait: more than ever come at once.
const signalBuffer = 4

// selfRestart ends this instance's process when the agreed plan of a rolling restart orders it.
type selfRestart struct {
	audit      *auditLog
	log        logrus.FieldLogger
	inPlace    bool // the program is to be started again in this process's place
	signals    chan os.Signal
	restarting atomic.Bool // by the plan
	ordered    atomic.Bool // to end, from outside
}

func newSelfRestart(env *environment, setting string) *selfRestart {
	return &selfRestart{audit: env.audit, log: env.component("rollingrestart"),
		inPlace: setting == restartByStarting, signals: make(chan os.Signal, signalBuffer)}
}

// planChanged takes the plan as it was agreed on. It is called on the runner's goroutine.
//
// Hazard: the plan may be read late, or again after a start. A step is for one incarnation of the instance.
func (s *selfRestart) planChanged(n leasedtask.PlanChanged) {
	plan, err := rollingrestart.DecodePlan(n.Note)
	if err != nil || !plan.MustRestart(n.Member, n.Incarnation) || s.restarting.Swap(true) {
		return
	}
	s.log.WithField("author", plan.Author).Info("process ends for a rolling restart")
	s.audit.write("out %d", plan.MaxUnavailable)
	s.signals <- syscall.SIGTERM
}

// merge returns the signals from outside and those of the plan. The goroutine that it starts ends with the
// process, or when the channel is closed.
func (s *selfRestart) merge(outside <-chan os.Signal) <-chan os.Signal {
	go func() {
		for sig := range outside {
			// Hazard: whoever orders the process to end waits for its end, and not for another process in its
			// place.
			if sig != syscall.SIGHUP {
				s.ordered.Store(true)
			}
			s.signals <- sig
		}
	}()
	return s.signals
}

// restarts reports whether the program is to be started again in the place of this process.
func (s *selfRestart) restarts() bool {
	return s.restarting.Load() && !s.ordered.Load() && s.inPlace
}
