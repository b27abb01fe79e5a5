package node

import (
	"time"

	"github.com/sirupsen/logrus"

	"moorstack/internal/netio/eventloop"
	"moorstack/internal/proxy/drain"
)

// drainReportInterval is how often a graceful shutdown logs what it still waits for.
const drainReportInterval = time.Second

// drainer is a part of a node that finishes its accepted work in a graceful shutdown.
type drainer interface {
	// BeginShutdown starts the drain. It calls done once, when nothing is pending and nothing more is
	// accepted.
	BeginShutdown(done func())
	// DrainPending returns what the part still waits for.
	DrainPending() drain.Pending
}

// shutdown is the graceful shutdown of a node. All parts begin to drain in the same turn of the loop, and
// none waits for another: how long one front's work takes must not decide how long another one goes on
// accepting requests.
type shutdown struct {
	loop      *eventloop.Loop
	log       logrus.FieldLogger
	parts     []*shutdownPart
	startedAt time.Duration // when it was requested; 0: not requested
}

// shutdownPart is a part of the node, with the state of its drain.
type shutdownPart struct {
	drainer
	name    string            // as logged
	next    func(done func()) // waits for what remains to be done once the part has drained; nil: nothing
	drained bool
}

// add adds a part of the node. It must be called before begin.
func (s *shutdown) add(name string, d drainer) {
	s.parts = append(s.parts, &shutdownPart{drainer: d, name: name})
}

// after adds a wait that begins when the part with the name has drained. It must be called before begin.
func (s *shutdown) after(name string, next func(done func())) {
	for _, p := range s.parts {
		if p.name == name {
			p.next = next
		}
	}
}

// begin starts the drain of all parts, and calls done when the last of them has drained. Only the first call
// has an effect.
func (s *shutdown) begin(done func()) {
	if s.startedAt != 0 {
		return
	}
	s.startedAt = s.loop.Now()
	s.loop.After(drainReportInterval, s.report)
	for _, p := range s.parts {
		p.BeginShutdown(func() { s.partDrained(p, done) })
	}
}

func (s *shutdown) partDrained(p *shutdownPart, done func()) {
	s.logPart(p).Info("drained")
	finish := func() {
		p.drained = true
		if s.drained() {
			done()
		}
	}
	if p.next != nil {
		p.next(finish)
		return
	}
	finish()
}

// drained reports whether all parts have drained.
func (s *shutdown) drained() bool {
	for _, p := range s.parts {
		if !p.drained {
			return false
		}
	}
	return true
}

// report logs what each part still waits for, at every drainReportInterval until all have drained.
func (s *shutdown) report() {
	for _, p := range s.parts {
		if n := p.DrainPending(); !p.drained {
			s.logPart(p).WithFields(logrus.Fields{"jobs": n.Jobs, "connections": n.Connections,
				"unread_results": n.UnreadResults}).Info("still draining")
		}
	}
	s.loop.After(drainReportInterval, s.report)
}

// logPart returns a logger with the part's name and the time since the shutdown was requested.
func (s *shutdown) logPart(p *shutdownPart) *logrus.Entry {
	return s.log.WithFields(logrus.Fields{"part": p.name, "duration": s.loop.Now() - s.startedAt})
}
