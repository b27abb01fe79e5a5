package experiment

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// journalFile is the journal of finished runs in a directory of results, a line of JSON each.
const journalFile = "finished.jsonl"

// finishedRun is a line of the journal.
type finishedRun struct {
	Hash       string      `json:"hash"` // of the plan
	Run        int         `json:"run"`
	Rows       []Row       `json:"rows"`
	Seconds    []SecondRow `json:"seconds"`
	Violations []string    `json:"broken,omitempty"`
}

// journal is the journal of a directory, open for more. It is for one goroutine.
type journal struct {
	file     *os.File
	finished map[int]*finishedRun // by run
}

// openJournal reads what is finished of a plan. A line that an end in mid-write cut short is taken out; one
// of another plan is an error.
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
	whole := int64(0)
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
			return fmt.Errorf("%s is of another plan, or of one that has changed since; "+
				"name another directory", j.file.Name())
		}
		j.finished[r.Run] = r
		whole += int64(len(line))
	}
	return j.file.Truncate(whole)
}

// append adds a finished run.
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
