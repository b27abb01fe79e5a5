package rig

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"
)

// entry is a line of an instance's journal: what it did, by the clock that all share.
type entry struct {
	at   time.Duration
	who  string
	what string
	rest string
}

// Journals reads what all instances have written, in the order of the shared clock. A last
// line that is cut short, by a kill in the middle of its writing, tells nothing.
func (f *Fleet) journals() ([]entry, error) {
	var all []entry
	for _, p := range f.List {
		raw, err := os.ReadFile(filepath.Join(f.o.Dir, p.Name+".audit"))
		if err != nil {
			return nil, err
		}
		if n := bytes.LastIndexByte(raw, '\n'); n >= 0 {
			raw = raw[:n+1]
		} else {
			raw = nil
		}
		sc := bufio.NewScanner(bytes.NewReader(raw))
		for sc.Scan() {
			at, rest, _ := strings.Cut(sc.Text(), " ")
			ns, err := strconv.ParseInt(at, 10, 64)
			if err != nil {
				return nil, fmt.Errorf("%s.audit: %q is no line of a journal", p.Name, sc.Text())
			}
			what, rest, _ := strings.Cut(rest, " ")
			all = append(all, entry{time.Duration(ns), p.Name, what, rest})
		}
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
