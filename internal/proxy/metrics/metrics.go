// Package metrics counts the jobs of a process and formats the counters as JSON. It uses no sockets and no
// clock. The fronts update the counters, on one goroutine.
//
// A job is counted if the front could parse it and has not rejected it as malformed. A job is "succeeded" if
// its response was a result, "declined" if its client was told that a retry is safe, and "aborted" if its
// client was told that it has failed. A job whose client disconnected before the response is in none of the
// three. A request that can't be parsed, or whose ID is in use, is not a job. So at any time
//
//	accepted jobs = succeeded + declined + aborted + outstanding + client disconnects.
package metrics

import "strconv"

// ClassCounters counts the jobs of one class by outcome.
type ClassCounters struct{ Succeeded, Declined, Aborted uint64 }

// Counters are the counters of a process, which start at 0.
type Counters struct {
	Classes           []ClassCounters // by class number
	Forwards          uint64          // attempts that were written completely to endpoints
	ClientDisconnects uint64          // jobs whose client disconnected before the response
}

// Gauges are current values, as opposed to counters.
type Gauges struct {
	InFlight  int // accepted jobs without a final response
	Endpoints int // in the endpoint list
	Ejected   int // of Endpoints: those under maintenance or ejected as outliers
}

// AppendJSON appends the metrics to dst as one line of JSON. names are the names of the classes, by number.
func (c *Counters) AppendJSON(dst []byte, names []string, g Gauges) []byte {
	dst = append(dst, `{"results":{`...)
	for i, name := range names {
		if i > 0 {
			dst = append(dst, ',')
		}
		var class ClassCounters // a class that a reload has added may have no counters yet
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

// appendNumber appends the separator, the key and its number.
func appendNumber(dst []byte, separator byte, key string, n uint64) []byte {
	dst = append(dst, separator, '"')
	dst = append(dst, key...)
	dst = append(dst, '"', ':')
	return strconv.AppendUint(dst, n, 10)
}
