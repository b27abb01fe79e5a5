// Package metrics counts what a process has done and formats it as JSON. It knows no socket and no clock:
// whoever does a thing counts it, on one goroutine.
//
// What counts as what: a job is one that a front could read and that is not rejected for its form. Those
// answered with a result are succeeded, those answered that a retry is harmless are declined, those answered
// that they have failed are aborted. A job whose client disconnected before its answer is in none of them. A
// request that can't be read, or whose id is in use, is no job. So at any time
//
//	taken = succeeded + declined + aborted + outstanding + client disconnects.
package metrics

import "strconv"

// ClassCounters are the counters of one class of jobs.
type ClassCounters struct{ Succeeded, Declined, Aborted uint64 }

// Counters are the counters of a process, from 0.
type Counters struct {
	Classes           []ClassCounters // by the class's number
	Forwards          uint64          // attempts written complete to endpoints
	ClientDisconnects uint64          // jobs whose client disconnected before the answer
}

// Gauges are what holds at one moment, and is not counted.
type Gauges struct {
	InFlight  int // jobs taken and not ended
	Endpoints int // in the endpoint list
	Ejected   int // of them, those under maintenance or avoided by choice
}

// AppendJSON appends the metrics, as one line of JSON, to dst. The classes have the names given.
func (c *Counters) AppendJSON(dst []byte, names []string, g Gauges) []byte {
	dst = append(dst, `{"results":{`...)
	for i, name := range names {
		if i > 0 {
			dst = append(dst, ',')
		}
		var class ClassCounters // one that came with a reload has served nothing yet
		if i < len(c.Classes) {
			class = c.Classes[i]
		}
		dst = strconv.AppendQuote(dst, name)
		dst = append(dst, ':')
		dst = appendNumber(dst, '{', "succeeded", class.Succeeded)
		dst = appendNumber(dst, ',', "declined", class.Declined)
		dst = appendNumber(dst, ',', "aborted", class.Aborted)
		dst = append(dst, '}')
	}
	dst = append(dst, '}')
	dst = appendNumber(dst, ',', "forwards", c.Forwards)
	dst = appendNumber(dst, ',', "outstanding", uint64(max(g.InFlight, 0)))
	dst = appendNumber(dst, ',', "discovered", uint64(max(g.Endpoints, 0)))
	dst = appendNumber(dst, ',', "ejected", uint64(max(g.Ejected, 0)))
	dst = appendNumber(dst, ',', "left", c.ClientDisconnects)
	return append(dst, '}')
}

// appendNumber appends a key and its number, after the character that goes before it.
func appendNumber(dst []byte, before byte, key string, n uint64) []byte {
	dst = append(dst, before, '"')
	dst = append(dst, key...)
	dst = append(dst, '"', ':')
	return strconv.AppendUint(dst, n, 10)
}
