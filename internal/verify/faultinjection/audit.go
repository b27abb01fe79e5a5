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

// auditEntry is a line of an instance's journal: what it did, by the clock that all share.
type auditEntry struct {
	at       time.Duration
	instance string
	event    string
	args     string
}

// journal is what one instance writes, read from a pipe as it is written. Hazard: in a file it
// would stand on the disk that a story may fill.
type journal struct {
	instance string
	pipe     *os.File
	copy     *os.File // a copy of it, for people
	observe  func(auditEntry)

	mu       sync.Mutex
	entries  []auditEntry
	err      error
	barriers chan struct{}
}

// barrierLine is a line that the rig itself writes: all that was written before it has been read.
const barrierLine = "mark"

func newJournal(path, who string, note func(auditEntry)) (*journal, error) {
	j := &journal{instance: who, observe: note, barriers: make(chan struct{}, 1)}
	err := syscall.Mkfifo(path, 0o600)
	if err == nil {
		// Opened for both: there is no end of it while processes come and go.
		j.pipe, err = os.OpenFile(path, os.O_RDWR, 0)
	}
	if err == nil {
		if j.copy, err = os.Create(path + ".copy"); err != nil {
			j.pipe.Close()
		}
	}
	if err != nil {
		return nil, fmt.Errorf("the journal of %s: %w", who, err)
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
		what, rest, _ := strings.Cut(rest, " ")
		e := auditEntry{time.Duration(ns), j.instance, what, rest}
		j.mu.Lock()
		if j.entries = append(j.entries, e); err != nil && j.err == nil {
			j.err = fmt.Errorf("%s: %q is no line of a journal", j.instance, sc.Text())
		}
		j.mu.Unlock()
		j.observe(e)
	}
}

// readAll is what the instance has written until now.
func (j *journal) readAll() ([]auditEntry, error) {
	if _, err := fmt.Fprintln(j.pipe, barrierLine); err != nil {
		return nil, err
	}
	select {
	case <-j.barriers:
	case <-time.After(time.Minute):
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

// readJournals reads what all instances have written, in the order of the shared clock.
func (f *Cluster) readJournals() ([]auditEntry, error) {
	var all []auditEntry
	for _, p := range f.Processes {
		list, err := p.journal.readAll()
		if err != nil {
			return nil, err
		}
		all = append(all, list...)
	}
	slices.SortStableFunc(all, func(a, b auditEntry) int { return cmp.Compare(a.at, b.at) })
	return all, nil
}

// auditPolicies looks for an admission under a policy after another under a later one. It also
// gives, for each revision after the first, the pause between the last admission anywhere under
// the one before and the first under it.
func auditPolicies(all []auditEntry) (broken []string, admitted int) {
	newest, by := uint64(0), auditEntry{}
	for _, e := range all {
		if e.event != "admit" {
			continue
		}
		revision, err := strconv.ParseUint(strings.Fields(e.args)[0], 10, 64)
		if err != nil {
			broken = append(broken, fmt.Sprintf("%s: %q is no admission", e.instance, e.args))
			continue
		}
		admitted++
		if revision < newest {
			broken = append(broken, fmt.Sprintf("%s admitted under revision %d %v after %s had under %d",
				e.instance, revision, e.at-by.at, by.instance, newest))
		}
		if revision > newest {
			newest, by = revision, e
		}
	}
	return broken, admitted
}

// auditTasks looks for an act in a duty under a number after another under a later one, and for two
// that act under one number. It also gives how often duties have changed hands, and for how long
// nobody acted when they did.
func auditTasks(all []auditEntry) (broken []string, acts int, gaps []time.Duration) {
	type last struct {
		number uint64
		auditEntry
	}
	newest := map[string]last{}
	for _, e := range all {
		if e.event != "act" {
			continue
		}
		words := strings.Fields(e.args)
		if len(words) != 2 {
			broken = append(broken, fmt.Sprintf("%s: %q is no act", e.instance, e.args))
			continue
		}
		number, err := strconv.ParseUint(words[1], 10, 64)
		was := newest[words[0]]
		if err != nil || number < was.number || number == was.number && e.instance != was.instance {
			broken = append(broken,
				fmt.Sprintf("%s acted in %s under the number %s %v after %s had under %d", e.instance,
					words[0], words[1], e.at-was.at, was.instance, was.number))
			continue
		}
		acts++
		if number > was.number && was.number > 0 {
			gaps = append(gaps, e.at-was.at)
		}
		newest[words[0]] = last{number, e}
	}
	return broken, acts, gaps
}

// admissionPauses is for how long each instance admitted nothing because a change was taking hold.
func admissionPauses(all []auditEntry) []time.Duration {
	var list []time.Duration
	since := map[string]time.Duration{}
	for _, e := range all {
		switch {
		case e.event == "permit" && strings.HasPrefix(e.args, "open=false") && strings.Contains(e.args,
			"taking hold"):
			if _, ok := since[e.instance]; !ok {
				since[e.instance] = e.at
			}
		case e.event == "open":
			if at, ok := since[e.instance]; ok {
				list = append(list, e.at-at)
			}
			delete(since, e.instance)
		case e.event == "start" || e.event == "permit" && strings.HasPrefix(e.args, "open=false"):
			delete(since, e.instance)
		}
	}
	return list
}
