package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/go-faster/jx"

	"moorstack/balancer"
	"moorstack/internal/proxy/settings"
)

// server is the state of the process: the dispatchers, and the lists of workers that they share.
type server struct {
	out         jx.Writer
	decoder     decoder
	dispatchers map[string]*dispatcher
	lists       map[int][]balancer.Worker // by slot
	now         time.Duration
	inBatch     bool
}

func newServer() *server {
	return &server{dispatchers: map[string]*dispatcher{}, lists: map[int][]balancer.Worker{}}
}

// handleLine handles one line of input. After the last line of a batch, out contains the reply and inBatch
// is false.
func (s *server) handleLine(line []byte) error {
	ev, err := s.decoder.decode(line)
	if err != nil {
		return err
	}
	kind := ev.kind
	if !s.inBatch && !kind.beginsBatch {
		return fmt.Errorf("%s: outside a batch", kind.name)
	}
	if kind.handle != nil {
		err = kind.handle(s, ev)
	} else {
		err = s.deliver(ev)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", kind.name, err)
	}
	return nil
}

// deliver passes an event to the dispatcher that it names. A panic of the balancer is reported by the action
// bail_out with the panic's text, which ends the simulated day.
func (s *server) deliver(ev *event) error {
	d := s.dispatchers[string(ev.dispatcher)]
	if d == nil {
		return fmt.Errorf("dispatcher %q was never started", ev.dispatcher)
	}
	defer func() {
		if p := recover(); p != nil {
			d.bailOut(fmt.Sprint(p))
		}
	}()
	return ev.kind.deliver(s, d, ev)
}

func (s *server) beginBatch(ev *event) error {
	if s.inBatch {
		return errors.New("the previous batch has no commit")
	}
	s.now, s.inBatch = time.Duration(ev.moment), true
	return nil
}

func (s *server) commitBatch(*event) error {
	s.inBatch = false
	s.out.RawStr("{\"ok\":{}}\n")
	return nil
}

// setList stores a list of workers under the number of a slot, which later events refer to.
func (s *server) setList(ev *event) error {
	s.lists[ev.slot] = ev.workers
	return nil
}

// startDispatcher creates a dispatcher with its balancer, and replaces an existing one of the same name.
func (s *server) startDispatcher(ev *event) error {
	params, err := settings.Parse(ev.params)
	if err != nil {
		return err
	}
	set, err := params.Balancer()
	if err != nil {
		return err
	}
	d := &dispatcher{name: string(ev.dispatcher), out: &s.out, reportFields: params.LoadReportFields()}
	if d.balancer, err = balancer.New(set, ev.seed, d); err != nil {
		return err
	}
	s.dispatchers[d.name] = d
	return nil
}

func (s *server) stopDispatcher(d *dispatcher, _ *event) error {
	delete(s.dispatchers, d.name)
	return nil
}

// listUpdateKinds are the kinds of list update, indexed by their numbers in the simulator.
var listUpdateKinds = []balancer.ListUpdateKind{balancer.ListDelta, balancer.ListFull, balancer.ListCached,
	balancer.ListUnavailable}

func (s *server) updateWorkers(d *dispatcher, ev *event) error {
	if ev.form < 0 || ev.form >= len(listUpdateKinds) {
		return fmt.Errorf("unknown form %d of a list update, want 0 to 3", ev.form)
	}
	kind := listUpdateKinds[ev.form]
	if kind == balancer.ListUnavailable {
		d.balancer.UpdateWorkers(s.now, kind, nil)
		return nil
	}
	list, ok := s.lists[ev.slot]
	if !ok || !ev.present.has(slotField) {
		return fmt.Errorf("no list in slot %d; an earlier event must set it", ev.slot)
	}
	d.balancer.UpdateWorkers(s.now, kind, list)
	return nil
}

// The bits of a request's flags.
const (
	workIsKnown = 1 << iota
	isRetry
)

func (s *server) submit(d *dispatcher, ev *event) error {
	r := balancer.Request{
		ID: balancer.RequestID(ev.request), Class: ev.class, Tenant: ev.tenant,
		Timeout: time.Duration(ev.timeout), Slots: ev.slots, Memory: ev.memory,
		IsRetry: ev.flags&isRetry != 0,
	}
	if ev.flags&workIsKnown != 0 {
		r.ExpectedWork = time.Duration(ev.work)
	}
	d.balancer.Submit(s.now, r)
	return nil
}

func (s *server) clientDisconnected(d *dispatcher, ev *event) error {
	d.balancer.ClientDisconnected(balancer.RequestID(ev.request))
	return nil
}

func (s *server) attemptEnded(d *dispatcher, ev *event) error {
	result, err := parseResult(ev.result)
	if err != nil {
		return err
	}
	d.balancer.AttemptEnded(s.now, balancer.AttemptOutcome{
		ID: balancer.RequestID(ev.request), Attempt: ev.attempt, Worker: ev.worker, Result: result,
		Took: time.Duration(ev.took), Responded: ev.responded, Report: ev.loadReport(d.reportFields),
	})
	return nil
}

// startNotice is the value of the field "sort" in a progress report that a request has started to run.
const startNotice = 1

func (s *server) attemptProgressed(d *dispatcher, ev *event) error {
	d.balancer.AttemptProgressed(s.now, balancer.AttemptProgress{
		ID: balancer.RequestID(ev.request), Attempt: ev.attempt, Worker: ev.worker,
		Started: ev.sort == startNotice, Fraction: ev.fraction,
	})
	return nil
}

func (s *server) streamStarted(d *dispatcher, ev *event) error {
	d.balancer.StreamStarted(balancer.RequestID(ev.request))
	return nil
}

func (s *server) healthChecked(d *dispatcher, ev *event) error {
	result, err := parseResult(ev.result)
	if err != nil {
		return err
	}
	d.balancer.HealthChecked(s.now, ev.worker, result, ev.loadReport(d.reportFields))
	return nil
}

func (s *server) receivePeer(d *dispatcher, ev *event) error {
	d.balancer.ReceivePeer(s.now, ev.message)
	return nil
}

func (s *server) timerFired(d *dispatcher, ev *event) error {
	token, err := parseToken(ev.token)
	if err != nil {
		return fmt.Errorf("mark %q is not the token of a timer", ev.token)
	}
	d.balancer.TimerFired(s.now, token)
	return nil
}

// results are the results of attempts and health checks, by their numbers in the simulator.
var results = map[int]balancer.Result{10: balancer.OK, 20: balancer.ServerError, 30: balancer.WorkerFull,
	40: balancer.TimedOut, 50: balancer.ConnectFailed, 60: balancer.ConnectionReset, 70: balancer.Cancelled,
	80: balancer.NotSent}

func parseResult(number int) (balancer.Result, error) {
	result, ok := results[number]
	if !ok {
		return 0, fmt.Errorf("unknown result %d, want one of 10, 20 and so on to 80", number)
	}
	return result, nil
}
