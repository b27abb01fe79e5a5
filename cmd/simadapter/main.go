// Drill hosts balancers behind the simulator's wire: batches of events on
// standard input, one JSON value a line, and the actions on standard output.
// It decodes and encodes; every decision is package balancer's.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/go-faster/jx"

	"moorstack/balancer"
	"moorstack/internal/proxy/settings"
)

func main() {
	// One goroutine does all the work; the collector is kept from using the
	// other processors and from running often, for CPU is what is counted.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(400)
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

// run serves the wire until the input ends.
func run(in io.Reader, out io.Writer) error {
	s := newServer()
	r := bufio.NewReaderSize(in, 1<<18)
	var long []byte
	for n := 1; ; n++ {
		line, err := r.ReadSlice('\n')
		long = long[:0]
		for errors.Is(err, bufio.ErrBufferFull) {
			long = append(long, line...)
			line, err = r.ReadSlice('\n')
		}
		if len(long) > 0 {
			long = append(long, line...)
			line = long
		}
		if err != nil && err != io.EOF {
			return fmt.Errorf("reading line %d: %w", n, err)
		}
		if len(line) == 0 {
			return nil
		}
		done, lineErr := s.line(line)
		if lineErr != nil {
			return fmt.Errorf("line %d: %w", n, lineErr)
		}
		if done {
			if _, err := out.Write(s.out.Buf); err != nil {
				return fmt.Errorf("writing the reply: %w", err)
			}
			s.out.Reset()
		}
	}
}

// server is the state of one process: its instances and the shared lists.
type server struct {
	out       jx.Writer
	dec       decoder
	instances map[string]*instance
	lists     map[int][]balancer.Worker
	now       time.Duration
	inBatch   bool
}

func newServer() *server {
	return &server{instances: map[string]*instance{}, lists: map[int][]balancer.Worker{}}
}

// line handles one line of input; done says that a reply is ready.
func (s *server) line(line []byte) (done bool, err error) {
	ev, err := s.dec.decode(line)
	if err != nil {
		return false, err
	}
	if ev.name == "batch" {
		if s.inBatch {
			return false, errors.New("batch: the one before it has no commit")
		}
		s.now, s.inBatch = time.Duration(ev.moment), true
		return false, nil
	}
	if !s.inBatch {
		return false, fmt.Errorf("%s: outside a batch", ev.name)
	}
	switch ev.name {
	case "commit":
		s.inBatch = false
		s.out.RawStr("{\"ok\":{}}\n")
		return true, nil
	case "snapshot_rows":
		s.lists[ev.slot] = ev.rows
		return false, nil
	case "spawn":
		return false, s.spawn(ev)
	}
	in := s.instances[string(ev.who)]
	if in == nil {
		return false, fmt.Errorf("%s: instance %q was never started", ev.name, ev.who)
	}
	if ev.name == "kill" {
		delete(s.instances, in.who)
		return false, nil
	}
	if err := s.deliver(in, ev); err != nil {
		return false, fmt.Errorf("%s: %w", ev.name, err)
	}
	return false, nil
}

func (s *server) spawn(ev *event) error {
	p, err := settings.Parse(ev.params)
	if err != nil {
		return fmt.Errorf("spawn: %w", err)
	}
	set, err := p.Balancer()
	if err != nil {
		return fmt.Errorf("spawn: %w", err)
	}
	in := &instance{who: string(ev.who), out: &s.out, names: p.LoadReportFields()}
	if in.bal, err = balancer.New(set, ev.seed, in); err != nil {
		return fmt.Errorf("spawn: %w", err)
	}
	s.instances[in.who] = in
	return nil
}

// deliver hands an event to its balancer. A panic there ends the day with its text.
func (s *server) deliver(in *instance, ev *event) error {
	defer func() {
		if p := recover(); p != nil {
			in.bail(fmt.Sprint(p))
		}
	}()
	switch ev.name {
	case "sync":
		return s.sync(in, ev)
	case "new_request":
		in.bal.Submit(s.now, balancer.Request{
			ID: balancer.RequestID(ev.handle), Class: ev.class, Tenant: ev.tenant,
			Timeout: time.Duration(ev.left), ExpectedWork: hint(ev), Slots: ev.slots, Memory: ev.memory,
			IsRetry: ev.flags&2 != 0,
		})
	case "aborted":
		in.bal.ClientDisconnected(balancer.RequestID(ev.handle))
	case "outcome":
		res, ok := results[ev.result]
		if !ok {
			return fmt.Errorf("unknown result %d", ev.result)
		}
		in.bal.AttemptEnded(s.now, balancer.AttemptOutcome{
			ID: balancer.RequestID(ev.handle), Attempt: ev.attempt, Worker: balancer.WorkerID(ev.worker),
			Result: res, Took: time.Duration(ev.took), Responded: ev.settled, Report: ev.load(in.names),
		})
	case "interim":
		in.bal.AttemptProgressed(s.now, balancer.AttemptProgress{
			ID: balancer.RequestID(ev.handle), Attempt: ev.attempt, Worker: balancer.WorkerID(ev.worker),
			Started: ev.sort == 1, Fraction: ev.level,
		})
	case "established":
		in.bal.StreamStarted(balancer.RequestID(ev.handle))
	case "probe_done":
		res, ok := results[ev.result]
		if !ok {
			return fmt.Errorf("unknown result %d", ev.result)
		}
		in.bal.HealthChecked(s.now, balancer.WorkerID(ev.worker), res, ev.load(in.names))
	case "note_from":
		in.bal.ReceivePeer(s.now, ev.raw)
	case "elapsed":
		token, err := tokenOf(ev.mark)
		if err != nil {
			return fmt.Errorf("mark %q is none of ours", ev.mark)
		}
		in.bal.TimerFired(s.now, token)
	}
	return nil
}

// hint is the expected work, where the flags call it valid.
func hint(ev *event) time.Duration {
	if ev.flags&1 == 0 {
		return 0
	}
	return time.Duration(ev.work)
}

var listKinds = []balancer.ListUpdateKind{
	balancer.ListDelta,
	balancer.ListFull,
	balancer.ListCached,
	balancer.ListUnavailable,
}

func (s *server) sync(in *instance, ev *event) error {
	if ev.form < 0 || ev.form >= len(listKinds) {
		return fmt.Errorf("unknown form %d", ev.form)
	}
	kind := listKinds[ev.form]
	if kind == balancer.ListUnavailable {
		in.bal.UpdateWorkers(s.now, kind, nil)
		return nil
	}
	list, ok := s.lists[ev.slot]
	if !ok || ev.has&fSlot == 0 {
		return fmt.Errorf("no list in slot %d", ev.slot)
	}
	in.bal.UpdateWorkers(s.now, kind, list)
	return nil
}
