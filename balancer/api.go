package balancer

import "time"

// RequestID identifies one request of a client. An ID is never reused.
type RequestID string

// WorkerID identifies a worker. It carries no information about the worker.
type WorkerID uint32

// WorkerState is a worker's state in the list.
type WorkerState uint8

// The states of a worker.
const (
	Removed WorkerState = iota
	Ready
	Draining
)

// Worker is an entry of the list of workers.
type Worker struct {
	ID        WorkerID
	Zone      int
	Kind      int
	Cell      int
	State     WorkerState
	Size      float64       // see Settings.SizeMeaning for its unit
	StartedAt time.Duration // when its process last started; 0: long ago

	Labels []string // set by operators; only a Route uses them
}

// Route limits the workers that a request may be sent to, and ranks them in tiers. Workers are drawn from one
// tier at a time. A route must return the same results for as long as the request is open. It only restricts:
// all other rules still apply to the workers that it permits.
type Route interface {
	// TierCount returns the number of tiers.
	TierCount() int
	// Tier returns the tier of a worker; 0 is the most preferred. If it is negative, the request must not be
	// sent to the worker.
	Tier(w *Worker) int
	// SpillsOver reports whether a request that can't be sent to any worker of a tier now may try the next
	// tier. If busy is set, the tier has eligible workers but the wait for them is too long; otherwise it has
	// no eligible worker.
	SpillsOver(tier int, busy bool) bool
}

// ListUpdateKind says how an update of the list is to be applied.
type ListUpdateKind uint8

// The kinds of list update.
const (
	ListDelta       ListUpdateKind = iota // only the entries that have changed
	ListFull                              // all entries; workers that are not among them are removed
	ListCached                            // all entries as last received, possibly outdated
	ListUnavailable                       // no list: a call failed or the subscription ended
)

// Request is a job that a client has submitted to this dispatcher.
type Request struct {
	ID           RequestID
	Class        int           // index in Settings.Classes
	Tenant       int           // index in Settings.Tenants
	Timeout      time.Duration // how long the client waits for a response
	ExpectedWork time.Duration // running time on a standard core; 0: unknown
	Slots        float64       // slots that it occupies; 0: unknown
	Memory       float64       // units of memory that it occupies; 0: unknown
	IsRetry      bool          // the client marked it as a retry

	Route       Route // nil: any worker
	MaxAttempts int   // a limit lower than the class's; 0: none
	MustFinish  bool  // reject it rather than start an attempt that is not expected to end within Timeout
}

// Result is how an attempt or a health check ended.
type Result uint8

// The results of an attempt.
const (
	OK              Result = iota
	ServerError            // the worker responded with an error; the request may have run
	WorkerFull             // the worker rejected it; it did not run, unless Rules.FullMayHaveRun
	TimedOut               // no response in time; it may have run or may still be running
	ConnectFailed          // no connection; it did not run
	ConnectionReset        // the connection broke; it may have run
	Cancelled              // it may have run
	NotSent                // it did not run
	Unprocessable          // the request is malformed; every worker would refuse it
)

// NeverRan reports whether the result proves that the request did not run. It assumes that WorkerFull is a
// proof; see Rules.FullMayHaveRun.
func (r Result) NeverRan() bool { return r == WorkerFull || r == ConnectFailed || r == NotSent }

// LoadReport is a worker's report of its load, delayed and noisy. A negative value was not reported.
type LoadReport struct {
	Received        bool // false: there is no report
	FreeSlots       float64
	FreeMemory      float64
	InFlight        float64 // requests that it runs or has queued
	QueueLength     float64 // requests that it has queued
	CPUShare        float64 // share of its CPU in use, 0 to 1
	ServedPerSecond float64 // requests
	FailedPerSecond float64 // requests
}

// NoLoadReport is the value for a missing report.
var NoLoadReport = LoadReport{FreeSlots: -1, FreeMemory: -1, InFlight: -1, QueueLength: -1, CPUShare: -1,
	ServedPerSecond: -1, FailedPerSecond: -1}

// AttemptOutcome describes the end of an attempt.
type AttemptOutcome struct {
	ID        RequestID
	Attempt   int // 0 for a request's first Send, 1 for the next, ...
	Worker    WorkerID
	Result    Result
	Took      time.Duration
	Responded bool // the client has its final response
	Report    LoadReport
}

// AttemptProgress is a worker's progress report on an attempt in flight.
type AttemptProgress struct {
	ID       RequestID
	Attempt  int
	Worker   WorkerID
	Started  bool    // the request has started running; if false, Fraction of it is done
	Fraction float64 // 0 to 1
}

// AllPeers addresses every other dispatcher.
const AllPeers = -1

// Actions are the operations that the balancer requests from its host.
type Actions interface {
	// Send starts an attempt, which ends at the request's deadline at the latest.
	Send(id RequestID, w WorkerID)
	// Reject sends a final response: the request was not served, and a retry after the wait is harmless.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail sends a final response: the request was not served, and may have run.
	Fail(id RequestID)
	// Cancel stops waiting for an attempt.
	Cancel(id RequestID, attempt int)
	// CheckHealth requests a worker's load report. A call of HealthChecked follows.
	CheckHealth(w WorkerID)
	// WatchList subscribes to updates of the list, or ends the subscription.
	WatchList(on bool)
	// SetTimer schedules one call of TimerFired with the token.
	SetTimer(d time.Duration, token uint64)
	// SendPeer sends at most 256 bytes to a peer, or to AllPeers.
	SendPeer(peer int, data []byte)
	// Log writes a line to the operators' log.
	Log(text string)
}
