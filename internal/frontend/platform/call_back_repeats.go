package platform

import "time"

// callBackRepeatTimeout is how long a worker may take to repeat a call-back whose response it did not get. It
// makes at most ten calls.
const callBackRepeatTimeout = 20 * time.Second

// callBackKey identifies a call-back, except that the attempts of two requests with the same id may lead to
// equal ones at the same worker.
type callBackKey struct {
	requestID string
	worker    string
	state     callBackState
}

// callBackRepeats recognises the repeats of call-backs whose responses did not reach their workers.
//
// A job that this node fires itself is submitted again under the same request id when it was rejected, so a
// worker may get an attempt under an id that it has returned before. If the response to that call-back was
// lost, its repeat must not end the new attempt. Nothing in a call-back names the attempt, but each lost
// response leads to one more delivery of the same call-back: so for each lost response one delivery is a
// repeat.
//
// The caller passes in the time; the zero value is ready for use.
type callBackRepeats struct {
	expected map[callBackKey]expectedRepeats
}

// expectedRepeats counts the repeats of a call-back that have not arrived yet.
type expectedRepeats struct {
	count   int
	expires time.Duration
}

// responseLost records that the response to a call-back did not reach the worker, which will repeat the call.
func (r *callBackRepeats) responseLost(key callBackKey, now time.Duration) {
	for other, e := range r.expected {
		if now >= e.expires {
			delete(r.expected, other)
		}
	}
	if r.expected == nil {
		r.expected = map[callBackKey]expectedRepeats{}
	}
	r.expected[key] = expectedRepeats{r.expected[key].count + 1, now + callBackRepeatTimeout}
}

// consume reports whether a call-back that has arrived now is an expected repeat, which is then no longer
// expected.
func (r *callBackRepeats) consume(key callBackKey, now time.Duration) bool {
	e, ok := r.expected[key]
	if !ok || now >= e.expires {
		return false
	}
	if e.count--; e.count == 0 {
		delete(r.expected, key)
	} else {
		r.expected[key] = e
	}
	return true
}

// endsWithoutResult reports whether a call-back with the state ends an attempt without a result. A repeat of
// such a call-back may be wrong for a later attempt. A result is right whichever attempt it came from, and
// progress only improves estimates.
func (s callBackState) endsWithoutResult() bool {
	return s == callBackFailed || s == callBackReturned || s == callBackLost
}
