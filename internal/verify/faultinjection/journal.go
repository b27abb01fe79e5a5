package faultinjection

import (
	"bufio"
	"cmp"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// auditEntry is a line of an instance's audit journal: an event, timed by the clock that all
// instances share.
type auditEntry struct {
	at       time.Duration // CLOCK_BOOTTIME
	instance string
	event    string
	args     string
}

// journal reads the audit journal of one instance from a pipe. The instance does not write to a file
// because that would be on the disk that a fault may fill.
type journal struct {
	instance string
	pipe     *os.File
	copy     *os.File // of the entries, to be read by people
	observe  func(auditEntry)
	barriers chan struct{}

	mu      sync.Mutex
	entries []auditEntry
	err     error // of the first invalid line
}

// barrierLine is a line that readAll writes to the pipe. Once it has been read, everything that was
// written before has been read as well.
const barrierLine = "mark"

// barrierTimeout is how long the reader of a pipe may take to reach a barrier line.
const barrierTimeout = time.Minute

// newJournal creates the pipe and starts a goroutine that reads it until close is called. The
// goroutine calls observe with each entry.
func newJournal(path, instance string, observe func(auditEntry)) (*journal, error) {
	j := &journal{instance: instance, observe: observe, barriers: make(chan struct{}, 1)}
	err := syscall.Mkfifo(path, 0o600)
	if err == nil {
		// Opened for reading and writing, so that there is no end of file while no process has it open.
		j.pipe, err = os.OpenFile(path, os.O_RDWR, 0)
	}
	if err == nil {
		if j.copy, err = os.Create(path + ".copy"); err != nil {
			j.pipe.Close()
		}
	}
	if err != nil {
		return nil, fmt.Errorf("opening the journal of %s: %w", instance, err)
	}
	go j.read()
	return j, nil
}

func (j *journal) read() {
	sc := bufio.NewScanner(j.pipe)
	for sc.Scan() {
		if sc.Text() == barrierLine {
			j.barriers <- struct{}{}
			continue
		}
		fmt.Fprintln(j.copy, sc.Text())
		at, rest, _ := strings.Cut(sc.Text(), " ")
		ns, err := strconv.ParseInt(at, 10, 64)
		event, args, _ := strings.Cut(rest, " ")
		e := auditEntry{time.Duration(ns), j.instance, event, args}
		j.mu.Lock()
		if j.entries = append(j.entries, e); err != nil && j.err == nil {
			j.err = fmt.Errorf("%s: journal line %q does not begin with a time in nanoseconds", j.instance,
				sc.Text())
		}
		j.mu.Unlock()
		j.observe(e)
	}
}

// readAll returns all entries that the instance wrote before the call.
func (j *journal) readAll() ([]auditEntry, error) {
	if _, err := fmt.Fprintln(j.pipe, barrierLine); err != nil {
		return nil, err
	}
	select {
	case <-j.barriers:
	case <-time.After(barrierTimeout):
		return nil, fmt.Errorf("the journal of %s: barrier line not read in time", j.instance)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.entries), j.err
}

func (j *journal) close() {
	j.pipe.Close()
	j.copy.Close()
}

// readJournals returns the entries of all instances, sorted by the shared clock.
func (c *Cluster) readJournals() ([]auditEntry, error) {
	var all []auditEntry
	for _, p := range c.Processes {
		list, err := p.journal.readAll()
		if err != nil {
			return nil, err
		}
		all = append(all, list...)
	}
	slices.SortStableFunc(all, func(a, b auditEntry) int { return cmp.Compare(a.at, b.at) })
	return all, nil
}
