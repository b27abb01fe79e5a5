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

// auditEntry is a line of an instance's audit journal: what it did, by the clock that all share.
type auditEntry struct {
	at       time.Duration // CLOCK_BOOTTIME
	instance string
	event    string
	args     string
}

// journal is what one instance writes, read from a pipe as it is written. Hazard: a file would
// stand on the disk that a fault may fill.
type journal struct {
	instance string
	pipe     *os.File
	copy     *os.File // what was read, for people
	observe  func(auditEntry)
	barriers chan struct{}

	mu      sync.Mutex
	entries []auditEntry
	err     error // of the first line that is none
}

// barrierLine is written by readAll itself: when it is read, all that was written before has been.
const barrierLine = "mark"

// barrierTimeout is how long the reader of a pipe may take to come to a barrier.
const barrierTimeout = time.Minute

// newJournal makes the pipe and starts the goroutine that reads it, until close. That goroutine
// calls observe with each entry.
func newJournal(path, instance string, observe func(auditEntry)) (*journal, error) {
	j := &journal{instance: instance, observe: observe, barriers: make(chan struct{}, 1)}
	err := syscall.Mkfifo(path, 0o600)
	if err == nil {
		// Opened for both: it has no end while processes come and go.
		j.pipe, err = os.OpenFile(path, os.O_RDWR, 0)
	}
	if err == nil {
		if j.copy, err = os.Create(path + ".copy"); err != nil {
			j.pipe.Close()
		}
	}
	if err != nil {
		return nil, fmt.Errorf("the journal of %s: %w", instance, err)
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
			j.err = fmt.Errorf("%s: %q is no line of a journal", j.instance, sc.Text())
		}
		j.mu.Unlock()
		j.observe(e)
	}
}

// readAll is all that the instance has written before the call.
func (j *journal) readAll() ([]auditEntry, error) {
	if _, err := fmt.Fprintln(j.pipe, barrierLine); err != nil {
		return nil, err
	}
	select {
	case <-j.barriers:
	case <-time.After(barrierTimeout):
		return nil, fmt.Errorf("the journal of %s is not read", j.instance)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.entries), j.err
}

func (j *journal) close() {
	j.pipe.Close()
	j.copy.Close()
}

// readJournals is what all instances have written, in the order of the shared clock.
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
