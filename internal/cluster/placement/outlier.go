package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// What instances tell each other of workers, and what it takes to be believed.
const (
	// leastBad is how many attempts must have failed within recent: one after the other, or half of all. The
	// module itself soon sends little to a worker that fails, so there is not much to see.
	leastBad = 2
	recent   = 10 * time.Second
	// lasting is how long a word counts without being said again.
	lasting = 3 * time.Second
	// witnesses is how many instances must say so.
	witnesses = 2
	// mostShunned is the part of the workers that words can take out, in all.
	mostShunned = 3
	// proven is how many attempts in a row must have gone well where it is one's turn to try.
	proven = 2
)

// OutlierReport is what an instance says of a worker: how many of its latest attempts there have failed.
type OutlierReport struct {
	Worker   string
	Failed   int
	Attempts int
}

// OutlierQuorum is an instance's own side, and what it has heard of others. Nothing that it says makes a
// worker be used that the list does not name, and nothing that one instance says takes one out.
type OutlierQuorum struct {
	seen  map[string]*evidence
	heard map[uint64]map[string]word // by who said it
	table *Table
	own   Session
}

// evidence is what an instance's own attempts have shown.
type evidence struct {
	ends []end
	good int // in a row, the last ones
	bad  int // likewise
}

type end struct {
	at  time.Duration
	bad bool
}

type word struct {
	OutlierReport
	at time.Duration
}

// mostEnds bounds what is kept of a worker, mostWords what is taken from one instance.
const (
	mostEnds  = 64
	mostWords = 256
)

// NewOutlierQuorum has seen and heard nothing.
func NewOutlierQuorum() *OutlierQuorum {
	return &OutlierQuorum{seen: map[string]*evidence{}, heard: map[uint64]map[string]word{}}
}

// SetView takes over who is there: whose words count, and whose turn it is to try a worker that is shunned.
func (w *OutlierQuorum) SetView(t *Table, own Session) {
	w.table, w.own = t, own
	maps.DeleteFunc(w.heard, func(member uint64, _ map[string]word) bool {
		return !slices.ContainsFunc(t.View.Members, func(m Member) bool { return m.Member == member })
	})
}

// ObserveAttempt notes how an attempt of this instance at a worker has ended.
func (w *OutlierQuorum) ObserveAttempt(now time.Duration, worker string, bad bool) {
	e := w.seen[worker]
	if e == nil {
		e = &evidence{}
		w.seen[worker] = e
	}
	if bad {
		e.good, e.bad = 0, e.bad+1
	} else {
		e.good, e.bad = e.good+1, 0
	}
	e.ends = append(e.ends, end{now, bad})
	if len(e.ends) > mostEnds {
		e.ends = append(e.ends[:0], e.ends[1:]...)
	}
}

// Reports gives what is to be told to the others: workers at which most of this instance's latest attempts
// have failed. Who tries a worker in its turn, and finds it well, says nothing more of it.
func (w *OutlierQuorum) Reports(now time.Duration) (list []OutlierReport) {
	for name, e := range w.seen {
		e.ends = slices.DeleteFunc(e.ends, func(x end) bool { return now-x.at > recent })
		if len(e.ends) == 0 {
			delete(w.seen, name)
			continue
		}
		bad := 0
		for _, x := range e.ends {
			if x.bad {
				bad++
			}
		}
		switch row := min(e.bad, bad); {
		case row >= leastBad:
			list = append(list, OutlierReport{name, row, row})
		case bad >= leastBad && 2*bad >= len(e.ends) && e.good < proven:
			list = append(list, OutlierReport{name, bad, len(e.ends)})
		}
	}
	slices.SortFunc(list, func(a, b OutlierReport) int { return cmp.Compare(a.Worker, b.Worker) })
	return list
}

// ObserveReports takes another instance's words, in the place of all that it said before. Hazard: one that is
// wrong, or lies, may say anything: it is one witness for each worker, however often it says so.
func (w *OutlierQuorum) ObserveReports(now time.Duration, member uint64, words []OutlierReport) {
	if member == w.own.Member {
		return
	}
	m := map[string]word{}
	for _, x := range words[:min(len(words), mostWords)] {
		if x.Failed >= leastBad && 2*x.Failed >= x.Attempts {
			m[x.Worker] = word{x, now}
		}
	}
	w.heard[member] = m
}

// Ejected are the workers that this instance gives nothing to because of what several have seen, of those
// that are listed: the ones with the most witnesses, and not more than a part of all. In whose turn a
// worker is, it does not shun it: somebody must find out that it is well again.
func (w *OutlierQuorum) Ejected(now time.Duration, listed []string) map[string]bool {
	count := map[string]int{}
	for _, x := range w.Reports(now) {
		count[x.Worker]++
	}
	for _, words := range w.heard {
		for name, x := range words {
			if now-x.at <= lasting {
				count[name]++
			}
		}
	}
	var list []string
	for _, name := range listed {
		if count[name] >= witnesses {
			list = append(list, name)
		}
	}
	slices.SortFunc(list, func(a, b string) int {
		return cmp.Or(cmp.Compare(count[b], count[a]), cmp.Compare(xxhash.Sum64String(a),
			xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	shunned := map[string]bool{}
	for _, name := range list[:min(len(list), len(listed)/mostShunned)] {
		if !w.turn(name) {
			shunned[name] = true
		}
	}
	return shunned
}

// turn says whether it is this instance that tries a worker that others shun.
func (w *OutlierQuorum) turn(worker string) bool {
	m, ok := w.table.Owner(ShardOf("worker/" + worker))
	return ok && m.Session == w.own
}
