package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/go-faster/jx"

	"moorstack/balancer"
	"moorstack/internal/proxy/settings"
)

// event is one decoded line. It has the fields of all kinds of event. The byte slices refer to memory of the
// line.
type event struct {
	kind    *eventKind
	present fieldSet

	dispatcher []byte
	request    []byte
	token      []byte
	message    []byte // from a peer
	params     []byte
	seed       uint64
	class      int
	tenant     int
	timeout    int64 // nanoseconds
	work       int64 // nanoseconds
	slots      float64
	memory     float64
	flags      int
	result     int
	attempt    int
	worker     balancer.WorkerID
	took       int64 // nanoseconds
	responded  bool
	sort       int
	fraction   float64
	moment     int64 // nanoseconds
	slot       int
	form       int
	peer       int
	workers    []balancer.Worker
	report     []reportValue
}

// reportValue is one value of a load report, with its name on the wire.
type reportValue struct {
	name  string
	value float64
}

// loadReport returns the event's load report. The settings define the meaning of the custom values x0 and x1.
func (ev *event) loadReport(fields settings.LoadReportFields) balancer.LoadReport {
	r := balancer.NoLoadReport
	for _, v := range ev.report {
		fields.Set(&r, v.name, v.value)
	}
	return r
}

// eventField is a field of events: its name on the wire, and the function that decodes its value.
type eventField struct {
	name string
	read func(*jx.Decoder, *event) error
}

// eventFields are all known fields. The index of a field is its bit in a fieldSet.
var eventFields = [...]eventField{
	{"who", func(j *jx.Decoder, ev *event) (err error) { ev.dispatcher, err = j.StrBytes(); return }},
	{"handle", func(j *jx.Decoder, ev *event) (err error) { ev.request, err = j.StrBytes(); return }},
	{"tier_class", func(j *jx.Decoder, ev *event) (err error) { ev.class, err = j.Int(); return }},
	{"remaining", func(j *jx.Decoder, ev *event) (err error) { ev.timeout, err = j.Int64(); return }},
	{"result", func(j *jx.Decoder, ev *event) (err error) { ev.result, err = j.Int(); return }},
	{"go", func(j *jx.Decoder, ev *event) (err error) { ev.attempt, err = j.Int(); return }},
	{"worker", readWorkerID},
	{"sort", func(j *jx.Decoder, ev *event) (err error) { ev.sort, err = j.Int(); return }},
	{"mark", func(j *jx.Decoder, ev *event) (err error) { ev.token, err = j.StrBytes(); return }},
	{"slot", func(j *jx.Decoder, ev *event) (err error) { ev.slot, err = j.Int(); return }},
	{"form", func(j *jx.Decoder, ev *event) (err error) { ev.form, err = j.Int(); return }},
	{"entropy", readSeed},
	{"params", readParams},
	{"rows_in", readWorkers},
	{"moment", func(j *jx.Decoder, ev *event) (err error) { ev.moment, err = j.Int64(); return }},
	{"by", func(j *jx.Decoder, ev *event) (err error) { ev.peer, err = j.Int(); return }},
	{"raw", func(j *jx.Decoder, ev *event) (err error) { ev.message, err = j.Base64(); return }},
	{"owner", func(j *jx.Decoder, ev *event) (err error) { ev.tenant, err = j.Int(); return }},
	{"effort", func(j *jx.Decoder, ev *event) (err error) { ev.work, err = j.Int64(); return }},
	{"cores_needed", func(j *jx.Decoder, ev *event) (err error) { ev.slots, err = j.Float64(); return }},
	{"ram_units", func(j *jx.Decoder, ev *event) (err error) { ev.memory, err = j.Float64(); return }},
	{"state_bits", func(j *jx.Decoder, ev *event) (err error) { ev.flags, err = j.Int(); return }},
	{"duration", func(j *jx.Decoder, ev *event) (err error) { ev.took, err = j.Int64(); return }},
	{"settled", func(j *jx.Decoder, ev *event) (err error) { ev.responded, err = j.Bool(); return }},
	{"feedback", readLoadReport},
	{"level", func(j *jx.Decoder, ev *event) (err error) { ev.fraction, err = j.Float64(); return }},
}

// fieldIndex maps a field's name to its index in eventFields.
var fieldIndex = func() map[string]int {
	m := make(map[string]int, len(eventFields))
	for i, f := range eventFields {
		m[f.name] = i
	}
	return m
}()

// fieldSet is a set of event fields, with one bit for each field.
type fieldSet uint32

// slotField is the field that says which list of workers an event refers to.
var slotField = fieldSetOf("slot")

// fieldSetOf returns the set of the named fields. It panics if a name is unknown.
func fieldSetOf(names ...string) (set fieldSet) {
	for _, name := range names {
		i, ok := fieldIndex[name]
		if !ok {
			panic("no event field is named " + name)
		}
		set |= 1 << i
	}
	return set
}

// has reports whether all fields of o are in the set.
func (s fieldSet) has(o fieldSet) bool { return o&^s == 0 }

// firstMissing returns the name of the first required field that is not in the set, or "".
func (s fieldSet) firstMissing(required fieldSet) string {
	if s.has(required) {
		return ""
	}
	for i, f := range eventFields {
		if (required&^s)&(1<<i) != 0 {
			return f.name
		}
	}
	return ""
}

func readWorkerID(j *jx.Decoder, ev *event) error {
	id, err := j.UInt32()
	ev.worker = balancer.WorkerID(id)
	return err
}

// readSeed reads a signed or unsigned 64-bit integer; a negative one is converted to its two's complement.
func readSeed(j *jx.Decoder, ev *event) error {
	n, err := j.Num()
	if err != nil {
		return err
	}
	if ev.seed, err = n.Uint64(); err == nil {
		return nil
	}
	i, err := n.Int64()
	ev.seed = uint64(i)
	return err
}

func readParams(j *jx.Decoder, ev *event) error {
	raw, err := j.Raw()
	ev.params = raw
	return err
}

// readLoadReport reads the numbers of a load report and skips its other values.
func readLoadReport(j *jx.Decoder, ev *event) error {
	it, err := j.ObjIter()
	if err != nil {
		return err
	}
	for it.Next() {
		if j.Next() != jx.Number {
			if err := j.Skip(); err != nil {
				return err
			}
			continue
		}
		v, err := j.Float64()
		if err != nil {
			return err
		}
		ev.report = append(ev.report, reportValue{string(it.Key()), v})
	}
	return it.Err()
}

// workerField is a field of a worker's entry in a list.
type workerField struct {
	name     string
	required bool
	read     func(*jx.Decoder, *balancer.Worker) error
}

// workerFields are all known fields of an entry.
var workerFields = [...]workerField{
	{name: "worker", required: true, read: readEntryID},
	{name: "health", required: true, read: readState},
	{name: "rack_zone", read: readZone},
	{name: "sku", read: readKind},
	{name: "block", read: readCell},
	{name: "size", read: readSize},
	{name: "up_since", read: readStartedAt},
}

func readEntryID(j *jx.Decoder, w *balancer.Worker) error {
	id, err := j.UInt32()
	w.ID = balancer.WorkerID(id)
	return err
}

// readState reads a worker's state from its number in the simulator.
func readState(j *jx.Decoder, w *balancer.Worker) error {
	health, err := j.Int()
	switch health {
	case 2:
		w.State = balancer.Ready
	case 3:
		w.State = balancer.Draining
	default:
		w.State = balancer.Removed
	}
	return err
}

func readZone(j *jx.Decoder, w *balancer.Worker) (err error) {
	w.Zone, err = j.Int()
	return err
}

func readKind(j *jx.Decoder, w *balancer.Worker) (err error) {
	w.Kind, err = j.Int()
	return err
}

func readCell(j *jx.Decoder, w *balancer.Worker) (err error) {
	w.Cell, err = j.Int()
	return err
}

func readSize(j *jx.Decoder, w *balancer.Worker) (err error) {
	w.Size, err = j.Float64()
	return err
}

func readStartedAt(j *jx.Decoder, w *balancer.Worker) error {
	nanoseconds, err := j.Int64()
	w.StartedAt = time.Duration(nanoseconds)
	return err
}

// readWorkers reads a list of workers.
func readWorkers(j *jx.Decoder, ev *event) error {
	it, err := j.ArrIter()
	if err != nil {
		return err
	}
	ev.workers = []balancer.Worker{}
	for it.Next() {
		w := balancer.Worker{Size: 1}
		if err := readWorker(j, &w); err != nil {
			return fmt.Errorf("entry %d: %w", len(ev.workers), err)
		}
		ev.workers = append(ev.workers, w)
	}
	return it.Err()
}

// errEntryIncomplete means that a worker's entry lacks a required field.
var errEntryIncomplete = errors.New("field \"worker\" or \"health\" is missing")

func readWorker(j *jx.Decoder, w *balancer.Worker) error {
	var present uint8
	err := readObject(j, func(key []byte) error {
		for i := range workerFields {
			if f := &workerFields[i]; f.name == string(key) {
				present |= 1 << i
				return f.read(j, w)
			}
		}
		return j.Skip()
	})
	if err != nil {
		return err
	}
	for i, f := range workerFields {
		if f.required && present&(1<<i) == 0 {
			return errEntryIncomplete
		}
	}
	return nil
}
