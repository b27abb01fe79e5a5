package platform

import (
	"encoding/json"

	"moorstack/balancer"
)

// callBackState is the state that a worker reports of an attempt that it has accepted.
type callBackState string

const (
	callBackDone     callBackState = "done"
	callBackFailed   callBackState = "failed"
	callBackReturned callBackState = "returned" // not run; may run elsewhere
	callBackLost     callBackState = "lost"     // unknown whether it ran
	callBackStarted  callBackState = "started"
	callBackRunning  callBackState = "running"
)

// callBack is the body of a worker's call-back.
type callBack struct {
	RequestID string             `json:"id"`
	Worker    string             `json:"from"`
	State     callBackState      `json:"state"`
	Result    *string            `json:"result"`
	Share     float64            `json:"share"` // fraction of the work that is done
	Load      map[string]float64 `json:"load"`
}

// key returns what identifies the call-back.
func (cb *callBack) key() callBackKey { return callBackKey{cb.RequestID, cb.Worker, cb.State} }

// parseCallBack parses the body of a call-back. It returns nil if the body is malformed, which is logged.
func (f *Front) parseCallBack(body []byte) *callBack {
	cb := &callBack{}
	if err := json.Unmarshal(body, cb); err != nil {
		f.log.WithError(err).Warn("malformed call-back")
		return nil
	}
	return cb
}

// handleCallBack parses and applies a call-back, and reports false if it belongs to no attempt of this
// process. A malformed call-back counts as handled.
func (f *Front) handleCallBack(body []byte) bool {
	cb := f.parseCallBack(body)
	return cb == nil || f.applyCallBack(cb)
}

// isRepeat reports whether a call-back is the repeat of one whose response did not reach the worker. Such a
// call-back was handled when it arrived first.
func (f *Front) isRepeat(cb *callBack) bool {
	if !cb.State.endsWithoutResult() {
		return false
	}
	key := cb.key()
	if f.repeats.consume(key, f.loop.Now()) {
		return true
	}
	for c, responded := range f.unconfirmed {
		if responded == key && !c.conn.OutputAcknowledged() {
			c.forgetCallBack() // the repeat has arrived before the connection's end was noticed
			return true
		}
	}
	return false
}

// applyCallBack applies a call-back, and reports false if it belongs to no attempt of this process. A
// call-back may come before the 202 or late; it ends only an attempt that is outstanding at the worker that
// sent it.
func (f *Front) applyCallBack(cb *callBack) bool {
	if f.handleAdoptedCallBack(cb) {
		return true
	}
	report := balancer.NoLoadReport
	for name, v := range cb.Load {
		f.setLoadValue(&report, name, v)
	}
	end := func(result balancer.Result, body []byte) bool {
		return f.broker.EndAttemptAt(cb.RequestID, cb.Worker, result, body, report)
	}
	switch cb.State {
	case callBackDone:
		if cb.Result == nil {
			f.log.WithField("worker", cb.Worker).Warn("call-back without a result")
			return end(balancer.ServerError, nil)
		}
		return end(balancer.OK, []byte(*cb.Result))
	case callBackFailed:
		return end(balancer.ServerError, nil)
	case callBackReturned:
		return end(balancer.WorkerFull, nil)
	case callBackLost:
		return end(balancer.ConnectionReset, nil)
	case callBackStarted, callBackRunning:
		return f.broker.ReportProgress(cb.RequestID, cb.Worker, cb.State == callBackStarted, cb.Share)
	}
	return true // a state that the protocol does not define
}
