package main

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/go-faster/jx"

	"moorstack/balancer"
	"moorstack/internal/proxy/settings"
)

// field is a bit for each event field that some event requires.
type field uint32

const (
	fWho field = 1 << iota
	fHandle
	fClass
	fLeft
	fResult
	fAttempt
	fWorker
	fSort
	fMark
	fSlot
	fForm
	fSeed
	fParams
	fRows
	fMoment
	fBy
)

var fieldNames = []string{"who", "handle", "tier_class", "remaining", "result", "go", "worker",
	"sort", "mark", "slot", "form", "entropy", "params", "rows_in", "moment", "by"}

// form is an event's name and the fields that it cannot do without.
type form struct {
	name string
	need field
}

var forms = formsByName(
	form{"batch", fMoment},
	form{"commit", 0},
	form{"spawn", fWho | fSeed | fParams},
	form{"snapshot_rows", fSlot | fRows},
	form{"sync", fWho | fForm},
	form{"new_request", fWho | fHandle | fClass | fLeft},
	form{"aborted", fWho | fHandle},
	form{"outcome", fWho | fHandle | fResult | fAttempt | fWorker},
	form{"established", fWho | fHandle | fAttempt | fWorker},
	form{"interim", fWho | fHandle | fAttempt | fSort | fWorker},
	form{"probe_done", fWho | fWorker | fResult},
	form{"note_from", fWho | fBy},
	form{"elapsed", fWho | fMark},
	form{"kill", fWho},
)

func formsByName(list ...form) map[string]form {
	m := make(map[string]form, len(list))
	for _, f := range list {
		m[f.name] = f
	}
	return m
}

// event is one decoded line: the union of the fields of all events. The byte
// slices point into the line.
type event struct {
	name    string
	has     field
	who     []byte
	handle  []byte
	mark    []byte
	raw     []byte
	params  []byte
	seed    uint64
	class   int
	tenant  int
	left    int64
	work    int64
	slots   float64
	memory  float64
	flags   int
	result  int
	attempt int
	worker  uint32
	took    int64
	settled bool
	sort    int
	level   float64
	moment  int64
	slot    int
	form    int
	by      int
	rows    []balancer.Worker
	values  []value // of the load report
}

// value is one value of a load report, by its name on the wire.
type value struct {
	name string
	v    float64
}

// load gives the event's load report; the settings say what its free values hold.
func (ev *event) load(names settings.LoadReportFields) balancer.LoadReport {
	r := balancer.NoLoadReport
	for _, v := range ev.values {
		names.Set(&r, v.name, v.v)
	}
	return r
}

// decoder reads lines into an event that it reuses.
type decoder struct {
	jx jx.Decoder
	ev event
}

// decode reads one line. The event is good until the next call.
func (d *decoder) decode(line []byte) (*event, error) {
	d.jx.ResetBytes(line)
	ev := &d.ev
	*ev = event{values: ev.values[:0]}
	if d.jx.Next() != jx.Object {
		return nil, fmt.Errorf("not a JSON object")
	}
	it, err := d.jx.ObjIter()
	if err != nil {
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	if !it.Next() {
		if err := it.Err(); err != nil {
			return nil, fmt.Errorf("not JSON: %w", err)
		}
		return nil, fmt.Errorf("no event name")
	}
	form, ok := forms[string(it.Key())]
	if !ok {
		return nil, fmt.Errorf("unknown event %q", it.Key())
	}
	ev.name = form.name
	if d.jx.Next() != jx.Object {
		return nil, fmt.Errorf("%s: fields are not an object", ev.name)
	}
	if err := d.fields(ev); err != nil {
		return nil, fmt.Errorf("%s: %w", ev.name, err)
	}
	if it.Next() {
		return nil, fmt.Errorf("more than one event in a line")
	}
	if err := it.Err(); err != nil {
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	if err := d.end(); err != nil {
		return nil, err
	}
	if lack := form.need &^ ev.has; lack != 0 {
		for i, name := range fieldNames {
			if lack&(1<<i) != 0 {
				return nil, fmt.Errorf("%s: field %q is missing", ev.name, name)
			}
		}
	}
	return ev, nil
}

// end checks that nothing follows the object.
func (d *decoder) end() error {
	if err := d.jx.Skip(); errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil
	}
	return errors.New("text after the event")
}

func (d *decoder) fields(ev *event) error {
	it, err := d.jx.ObjIter()
	if err != nil {
		return err
	}
	for it.Next() {
		if d.jx.Next() == jx.Null { // absent
			if err := d.jx.Null(); err != nil {
				return err
			}
			continue
		}
		key := it.Key()
		if err := d.field(ev, key); err != nil {
			return fmt.Errorf("field %q: %w", key, err)
		}
	}
	return it.Err()
}

func (d *decoder) field(ev *event, key []byte) (err error) {
	j := &d.jx
	switch string(key) {
	case "who":
		ev.has |= fWho
		ev.who, err = j.StrBytes()
	case "handle":
		ev.has |= fHandle
		ev.handle, err = j.StrBytes()
	case "mark":
		ev.has |= fMark
		ev.mark, err = j.StrBytes()
	case "raw":
		ev.raw, err = j.Base64()
	case "params":
		ev.has |= fParams
		var r jx.Raw
		r, err = j.Raw()
		ev.params = r
	case "entropy":
		ev.has |= fSeed
		var n jx.Num
		if n, err = j.Num(); err == nil {
			ev.seed, err = seedOf(n)
		}
	case "tier_class":
		ev.has |= fClass
		ev.class, err = j.Int()
	case "owner":
		ev.tenant, err = j.Int()
	case "remaining":
		ev.has |= fLeft
		ev.left, err = j.Int64()
	case "effort":
		ev.work, err = j.Int64()
	case "cores_needed":
		ev.slots, err = j.Float64()
	case "ram_units":
		ev.memory, err = j.Float64()
	case "state_bits":
		ev.flags, err = j.Int()
	case "result":
		ev.has |= fResult
		ev.result, err = j.Int()
	case "go":
		ev.has |= fAttempt
		ev.attempt, err = j.Int()
	case "worker":
		ev.has |= fWorker
		ev.worker, err = j.UInt32()
	case "duration":
		ev.took, err = j.Int64()
	case "settled":
		ev.settled, err = j.Bool()
	case "feedback":
		err = d.feedback(ev)
	case "sort":
		ev.has |= fSort
		ev.sort, err = j.Int()
	case "level":
		ev.level, err = j.Float64()
	case "moment":
		ev.has |= fMoment
		ev.moment, err = j.Int64()
	case "slot":
		ev.has |= fSlot
		ev.slot, err = j.Int()
	case "form":
		ev.has |= fForm
		ev.form, err = j.Int()
	case "by":
		ev.has |= fBy
		ev.by, err = j.Int()
	case "rows_in":
		ev.has |= fRows
		ev.rows, err = d.entries()
	default:
		err = j.Skip()
	}
	return err
}

// seedOf reads a seed: any integer, wrapped to 64 bits.
func seedOf(n jx.Num) (uint64, error) {
	if u, err := n.Uint64(); err == nil {
		return u, nil
	}
	i, err := n.Int64()
	return uint64(i), err
}

// feedback reads a load report.
func (d *decoder) feedback(ev *event) error {
	it, err := d.jx.ObjIter()
	if err != nil {
		return err
	}
	for it.Next() {
		if d.jx.Next() != jx.Number {
			if err := d.jx.Skip(); err != nil {
				return err
			}
			continue
		}
		v, err := d.jx.Float64()
		if err != nil {
			return err
		}
		ev.values = append(ev.values, value{string(it.Key()), v})
	}
	return it.Err()
}

func (d *decoder) entries() ([]balancer.Worker, error) {
	it, err := d.jx.ArrIter()
	if err != nil {
		return nil, err
	}
	rows := []balancer.Worker{}
	for it.Next() {
		w := balancer.Worker{Size: 1}
		seen, err := d.entry(&w)
		if err != nil {
			return nil, fmt.Errorf("entry %d: %w", len(rows), err)
		}
		if !seen {
			return nil, fmt.Errorf("entry %d: field \"worker\" or \"health\" is missing", len(rows))
		}
		rows = append(rows, w)
	}
	return rows, it.Err()
}

func (d *decoder) entry(w *balancer.Worker) (seen bool, err error) {
	j := &d.jx
	it, err := j.ObjIter()
	if err != nil {
		return false, err
	}
	var id, health bool
	for it.Next() {
		if j.Next() == jx.Null {
			if err := j.Null(); err != nil {
				return false, err
			}
			continue
		}
		switch string(it.Key()) {
		case "worker":
			id = true
			var u uint32
			u, err = j.UInt32()
			w.ID = balancer.WorkerID(u)
		case "rack_zone":
			w.Zone, err = j.Int()
		case "sku":
			w.Kind, err = j.Int()
		case "block":
			w.Cell, err = j.Int()
		case "health":
			health = true
			var h int
			h, err = j.Int()
			w.State = stateOf(h)
		case "size":
			w.Size, err = j.Float64()
		case "up_since":
			var t int64
			t, err = j.Int64()
			w.StartedAt = time.Duration(t)
		default:
			err = j.Skip()
		}
		if err != nil {
			return false, err
		}
	}
	return id && health, it.Err()
}

func stateOf(health int) balancer.WorkerState {
	switch health {
	case 2:
		return balancer.Ready
	case 3:
		return balancer.Draining
	}
	return balancer.Removed
}

var results = map[int]balancer.Result{
	10: balancer.OK,
	20: balancer.ServerError,
	30: balancer.WorkerFull,
	40: balancer.TimedOut,
	50: balancer.ConnectFailed,
	60: balancer.ConnectionReset,
	70: balancer.Cancelled,
	80: balancer.NotSent,
}
