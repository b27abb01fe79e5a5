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

// entry is a line of an instance's journal: what it did, by the clock that all share.
type entry struct {
	at   time.Duration
	who  string
	what string
	rest string
}

// journal is what one instance writes, read from a pipe as it is written. Hazard: in a file it
// would stand on the disk that a story may fill.
type journal struct {
	who  string
	pipe *os.File
	file *os.File // a copy of it, for people
	note func(entry)

	mu    sync.Mutex
	list  []entry
	bad   error
	marks chan struct{}
}

// mark is a line that the rig itself writes: all that was written before it has been read.
const mark = "mark"

func newJournal(path, who string, note func(entry)) (*journal, error) {
	j := &journal{who: who, note: note, marks: make(chan struct{}, 1)}
	err := syscall.Mkfifo(path, 0o600)
	if err == nil {
		// Opened for both: there is no end of it while processes come and go.
		j.pipe, err = os.OpenFile(path, os.O_RDWR, 0)
	}
	if err == nil {
		if j.file, err = os.Create(path + ".copy"); err != nil {
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
		if sc.Text() == mark {
			j.marks <- struct{}{}
			continue
		}
		fmt.Fprintln(j.file, sc.Text())
		at, rest, _ := strings.Cut(sc.Text(), " ")
		ns, err := strconv.ParseInt(at, 10, 64)
		what, rest, _ := strings.Cut(rest, " ")
		e := entry{time.Duration(ns), j.who, what, rest}
		j.mu.Lock()
		if j.list = append(j.list, e); err != nil && j.bad == nil {
			j.bad = fmt.Errorf("%s: %q is no line of a journal", j.who, sc.Text())
		}
		j.mu.Unlock()
		j.note(e)
	}
}

// all is what the instance has written until now.
func (j *journal) all() ([]entry, error) {
	if _, err := fmt.Fprintln(j.pipe, mark); err != nil {
		return nil, err
	}
	select {
	case <-j.marks:
	case <-time.After(time.Minute):
		return nil, fmt.Errorf("the journal of %s is not read", j.who)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.Clone(j.list), j.bad
}

func (j *journal) close() {
	j.pipe.Close()
	j.file.Close()
}

// journals reads what all instances have written, in the order of the shared clock.
func (f *Fleet) journals() ([]entry, error) {
	var all []entry
	for _, p := range f.List {
		list, err := p.journal.all()
		if err != nil {
			return nil, err
		}
		all = append(all, list...)
	}
	slices.SortStableFunc(all, func(a, b entry) int { return cmp.Compare(a.at, b.at) })
	return all, nil
}

// auditPolicies looks for an admission under a policy after another under a later one. It also
// gives, for each revision after the first, the pause between the last admission anywhere under
// the one before and the first under it.
func auditPolicies(all []entry) (broken []string, admitted int) {
	newest, by := uint64(0), entry{}
	for _, e := range all {
		if e.what != "admit" {
			continue
		}
		revision, err := strconv.ParseUint(strings.Fields(e.rest)[0], 10, 64)
		if err != nil {
			broken = append(broken, fmt.Sprintf("%s: %q is no admission", e.who, e.rest))
			continue
		}
		admitted++
		if revision < newest {
			broken = append(broken, fmt.Sprintf("%s admitted under revision %d %v after %s had under %d",
				e.who, revision, e.at-by.at, by.who, newest))
		}
		if revision > newest {
			newest, by = revision, e
		}
	}
	return broken, admitted
}

// auditDuties looks for an act in a duty under a number after another under a later one, and for two
// that act under one number. It also gives how often duties have changed hands, and for how long
// nobody acted when they did.
func auditDuties(all []entry) (broken []string, acts int, gaps []time.Duration) {
	type last struct {
		number uint64
		entry
	}
	newest := map[string]last{}
	for _, e := range all {
		if e.what != "act" {
			continue
		}
		words := strings.Fields(e.rest)
		if len(words) != 2 {
			broken = append(broken, fmt.Sprintf("%s: %q is no act", e.who, e.rest))
			continue
		}
		number, err := strconv.ParseUint(words[1], 10, 64)
		was := newest[words[0]]
		if err != nil || number < was.number || number == was.number && e.who != was.who {
			broken = append(broken,
				fmt.Sprintf("%s acted in %s under the number %s %v after %s had under %d", e.who,
					words[0], words[1], e.at-was.at, was.who, was.number))
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

// pauses is for how long each instance admitted nothing because a change was taking hold.
func pauses(all []entry) []time.Duration {
	var list []time.Duration
	since := map[string]time.Duration{}
	for _, e := range all {
		switch {
		case e.what == "permit" && strings.HasPrefix(e.rest, "open=false") && strings.Contains(e.rest,
			"taking hold"):
			if _, ok := since[e.who]; !ok {
				since[e.who] = e.at
			}
		case e.what == "open":
			if at, ok := since[e.who]; ok {
				list = append(list, e.at-at)
			}
			delete(since, e.who)
		case e.what == "start" || e.what == "permit" && strings.HasPrefix(e.rest, "open=false"):
			delete(since, e.who)
		}
	}
	return list
}
