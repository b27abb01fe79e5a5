package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/go-faster/jx"
)

// decoder decodes lines into an event that is reused for every line.
type decoder struct {
	jx jx.Decoder
	ev event
}

// decode decodes one line. The event is valid until the next call.
func (d *decoder) decode(line []byte) (*event, error) {
	d.jx.ResetBytes(line)
	ev := &d.ev
	*ev = event{report: ev.report[:0]}
	if d.jx.Next() != jx.Object {
		return nil, errors.New("not a JSON object")
	}
	it, err := d.jx.ObjIter()
	if err != nil {
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	if !it.Next() {
		if err := it.Err(); err != nil {
			return nil, fmt.Errorf("not JSON: %w", err)
		}
		return nil, errors.New("the object is empty, want an event's name and fields")
	}
	kind, ok := eventKinds[string(it.Key())]
	if !ok {
		return nil, fmt.Errorf("unknown event %q", it.Key())
	}
	ev.kind = kind
	if d.jx.Next() != jx.Object {
		return nil, fmt.Errorf("%s: fields are not an object", kind.name)
	}
	if err := d.decodeFields(ev); err != nil {
		return nil, fmt.Errorf("%s: %w", kind.name, err)
	}
	if it.Next() {
		return nil, errors.New("a line has more than one event")
	}
	if err := it.Err(); err != nil {
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	if err := d.expectEnd(); err != nil {
		return nil, err
	}
	if name := ev.present.firstMissing(kind.required); name != "" {
		return nil, fmt.Errorf("%s: field %q is missing", kind.name, name)
	}
	return ev, nil
}

// expectEnd returns an error if anything follows the object.
func (d *decoder) expectEnd() error {
	if err := d.jx.Skip(); errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil
	}
	return errors.New("unexpected text after the event")
}

// decodeFields decodes the fields of an event. Unknown fields are skipped.
func (d *decoder) decodeFields(ev *event) error {
	return readObject(&d.jx, func(key []byte) error {
		i, ok := fieldIndex[string(key)]
		if !ok {
			return skip(&d.jx, key)
		}
		ev.present |= 1 << i
		if err := eventFields[i].read(&d.jx, ev); err != nil {
			return fmt.Errorf("field %q: %w", key, err)
		}
		return nil
	})
}

func skip(j *jx.Decoder, key []byte) error {
	if err := j.Skip(); err != nil {
		return fmt.Errorf("field %q: %w", key, err)
	}
	return nil
}

// readObject calls read for each field of an object. A field that is null counts as absent.
func readObject(j *jx.Decoder, read func(key []byte) error) error {
	it, err := j.ObjIter()
	if err != nil {
		return err
	}
	for it.Next() {
		if j.Next() == jx.Null {
			err = j.Null()
		} else {
			err = read(it.Key())
		}
		if err != nil {
			return err
		}
	}
	return it.Err()
}
