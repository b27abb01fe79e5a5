// Package figures counts what a process has done and states it as JSON. It knows no
// socket and no clock: who does a thing counts it.
//
// What counts as what: a job is one that a front could read and that is not refused by
// its form. `succeeded` are those answered with a result, `declined` those answered that
// trying again is harmless, `aborted` those answered that they have failed. A job whose
// client had gone before its answer is in none of them. A request that can't be read, or
// whose id is in use, is no job. So at any time
//
//	taken = succeeded + declined + aborted + outstanding + those whose client had gone.
package metrics

import "strconv"

// ClassCounters are the counts of one class.
type ClassCounters struct{ Succeeded, Declined, Aborted uint64 }

// Counters are the counts of a process, from 0.
type Counters struct {
	Classes           []ClassCounters // by the class's number
	Forwards          uint64          // attempts written whole to next hops
	ClientDisconnects uint64          // jobs whose client had gone before the answer
}

// Gauges is what is true at one moment, and not counted.
type Gauges struct {
	InFlight  int // jobs taken and not ended
	Endpoints int // next hops listed
	Ejected   int // of them, those that the node avoids by hand or by choice
}

// AppendJSON appends the figures, as one line of JSON, to dst. The classes have the names
// given, which hold nothing that JSON must escape or were quoted by the caller.
func (c *Counters) AppendJSON(dst []byte, names []string, now Gauges) []byte {
	dst = append(dst, `{"results":{`...)
	for i, name := range names {
		if i > 0 {
			dst = append(dst, ',')
		}
		var of ClassCounters // one that came with a reload has served nothing yet
		if i < len(c.Classes) {
			of = c.Classes[i]
		}
		dst = strconv.AppendQuote(dst, name)
		dst = append(dst, ':')
		dst = number(dst, '{', "succeeded", of.Succeeded)
		dst = number(dst, ',', "declined", of.Declined)
		dst = number(dst, ',', "aborted", of.Aborted)
		dst = append(dst, '}')
	}
	dst = append(dst, '}')
	dst = number(dst, ',', "forwards", c.Forwards)
	dst = number(dst, ',', "outstanding", uint64(max(now.InFlight, 0)))
	dst = number(dst, ',', "discovered", uint64(max(now.Endpoints, 0)))
	dst = number(dst, ',', "ejected", uint64(max(now.Ejected, 0)))
	dst = number(dst, ',', "left", c.ClientDisconnects)
	return append(dst, '}')
}

func number(dst []byte, before byte, name string, n uint64) []byte {
	dst = append(dst, before, '"')
	dst = append(dst, name...)
	dst = append(dst, '"', ':')
	return strconv.AppendUint(dst, n, 10)
}
