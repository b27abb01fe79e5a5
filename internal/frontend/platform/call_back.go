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

// handleCallBack applies a call-back, and reports false if it belongs to no attempt of this process. A
// call-back may come before the 202, more than once, or late; it ends only an attempt that is outstanding at
// the worker that sent it. A malformed call-back is logged and counts as handled.
func (f *Front) handleCallBack(body []byte) bool {
	var cb callBack
	if err := json.Unmarshal(body, &cb); err != nil {
		f.log.WithError(err).Warn("malformed call-back")
		return true
	}
	if f.handleAdoptedCallBack(&cb) {
		return true
	}
	report := balancer.NoLoadReport
	for name, v := range cb.Load {
		f.names.report.Set(&report, name, v)
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
