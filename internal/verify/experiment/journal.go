package experiment

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// journalFile is the name of the journal of finished runs in a results directory. It has one JSON object per
// line.
const journalFile = "finished.jsonl"

// finishedRun is an entry of the journal.
type finishedRun struct {
	Hash       string      `json:"hash"` // Plan.Hash
	Run        int         `json:"run"`
	Rows       []Row       `json:"rows"`
	Seconds    []SecondRow `json:"seconds"`
	Violations []string    `json:"broken,omitempty"`
}

// journal is an open journal. It is not safe for concurrent use.
type journal struct {
	file     *os.File
	finished map[int]*finishedRun // by run
}

// openJournal opens the journal in dir and reads the finished runs of the plan. A last line cut short by an
// interrupted write is removed. Entries of another plan are an error.
func openJournal(p *Plan, dir string) (*journal, error) {
	path := filepath.Join(dir, journalFile)
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	j := &journal{file: f, finished: map[int]*finishedRun{}}
	if err := j.read(p); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return j, nil
}

func (j *journal) read(p *Plan) error {
	validBytes := int64(0)
	in := bufio.NewReader(j.file)
	for {
		line, err := in.ReadBytes('\n')
		if err != nil {
			break
		}
		r := &finishedRun{}
		if json.Unmarshal(line, r) != nil {
			break
		}
		if r.Hash != p.Hash {
			return fmt.Errorf("%s belongs to another plan, or the plan has changed since; "+
				"use another directory", j.file.Name())
		}
		j.finished[r.Run] = r
		validBytes += int64(len(line))
	}
	return j.file.Truncate(validBytes)
}

// append adds a finished run to the journal.
func (j *journal) append(r *finishedRun) error {
	j.finished[r.Run] = r
	line, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = j.file.Write(append(line, '\n'))
	return err
}

// close makes the journal durable and closes it.
func (j *journal) close() error { return errors.Join(j.file.Sync(), j.file.Close()) }
