package balancer

import "time"

// RequestID names one request of a client. An ID is never used twice.
type RequestID string

// WorkerID identifies a worker. Nothing about the worker follows from it.
type WorkerID uint32

// WorkerState is a worker's state in the list.
type WorkerState uint8

// The states of a worker.
const (
	Removed WorkerState = iota
	Ready
	Draining
)

// Worker is an entry of the list.
type Worker struct {
	ID        WorkerID
	Zone      int
	Kind      int
	Cell      int
	State     WorkerState
	Size      float64       // see Settings.SizeMeaning
	StartedAt time.Duration // when it last started; 0: a long time ago

	Labels []string // set by operators; decisions use them only through a Route
}

// Route limits the workers that a request may go to, and orders them in tiers. Workers are drawn from one
// tier at a time. A route must give the same results as long as the request is open. It permits nothing that
// is forbidden otherwise.
type Route interface {
	// TierCount is the number of tiers.
	TierCount() int
	// Tier is a worker's tier: from 0, the most preferred. Below 0: the request must not go to it.
	Tier(w *Worker) int
	// SpillsOver reports whether a request that no worker of a tier takes now may go on to the next. With
	// busy, there are workers but the wait there is too long; otherwise no worker of the tier may have the
	// request.
	SpillsOver(tier int, busy bool) bool
}

// ListUpdateKind is how an update of the list is to be read.
type ListUpdateKind uint8

// The kinds of list update.
const (
	ListDelta       ListUpdateKind = iota // only the entries that changed
	ListFull                              // all entries; workers that are absent are removed
	ListCached                            // all entries as last received, maybe outdated
	ListUnavailable                       // no list: a call failed or the subscription ended
)

// Request is a job that a client has submitted to this dispatcher.
type Request struct {
	ID           RequestID
	Class        int           // index of Settings.Classes
	Tenant       int           // index of Settings.Tenants
	Timeout      time.Duration // until the client gives up
	ExpectedWork time.Duration // running time on a standard core; 0: not known
	Slots        float64       // slots that it takes; 0: not known
	Memory       float64       // units of memory that it takes; 0: not known
	IsRetry      bool          // the client marks it as a retry

	Route       Route // nil: any worker
	MaxAttempts int   // within the class's; 0: as many
}

// Result is how an attempt or a health check ended.
type Result uint8

// The results of an attempt.
const (
	OK              Result = iota
	ServerError            // the worker responded with an error; the request may have run
	WorkerFull             // the worker rejected it; it did not run, unless Rules.FullMayHaveRun
	TimedOut               // no response in time; it may have run, or may be running
	ConnectFailed          // no connection; it did not run
	ConnectionReset        // the connection broke; it may have run
	Cancelled              // it may have run
	NotSent                // it did not run
	Unprocessable          // the worker can't read the request; nor could any other
)

// NeverRan reports whether the result proves that the request did not run, where WorkerFull proves it.
func (r Result) NeverRan() bool { return r == WorkerFull || r == ConnectFailed || r == NotSent }

// LoadReport is a worker's report of its load, delayed and noisy. A negative value was not reported.
type LoadReport struct {
	Received        bool // there is a report at all
	FreeSlots       float64
	FreeMemory      float64
	InFlight        float64 // requests that it runs or has queued
	QueueLength     float64 // requests that it has queued
	CPUShare        float64 // of its CPU in use, 0 to 1
	ServedPerSecond float64 // requests
	FailedPerSecond float64 // requests
}

// NoLoadReport stands for a report that did not come.
var NoLoadReport = LoadReport{FreeSlots: -1, FreeMemory: -1, InFlight: -1, QueueLength: -1, CPUShare: -1,
	ServedPerSecond: -1, FailedPerSecond: -1}

// AttemptOutcome is the end of an attempt.
type AttemptOutcome struct {
	ID        RequestID
	Attempt   int // 0 for a request's first Send, then 1, ...
	Worker    WorkerID
	Result    Result
	Took      time.Duration
	Responded bool // the client has its final response
	Report    LoadReport
}

// AttemptProgress is what a worker reports about an attempt in flight.
type AttemptProgress struct {
	ID       RequestID
	Attempt  int
	Worker   WorkerID
	Started  bool    // the request has started running; otherwise Fraction of it is done
	Fraction float64 // 0 to 1
}

// AllPeers is the peer number that stands for every other dispatcher.
const AllPeers = -1

// Actions are what the balancer can have its host do.
type Actions interface {
	// Send starts an attempt, to be abandoned when the client gives up.
	Send(id RequestID, w WorkerID)
	// Reject is a final response: a retry is harmless, after the wait.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail is a final response: the request was not served, and may have run.
	Fail(id RequestID)
	// Cancel stops waiting for an attempt.
	Cancel(id RequestID, attempt int)
	// CheckHealth requests a worker's load report. HealthChecked follows.
	CheckHealth(w WorkerID)
	// WatchList subscribes to updates of the list, or ends the subscription.
	WatchList(on bool)
	// SetTimer has TimerFired be called with the token, once.
	SetTimer(d time.Duration, token uint64)
	// SendPeer sends at most 256 bytes to a peer, or to AllPeers.
	SendPeer(peer int, data []byte)
	// Log writes a line for the people on call.
	Log(text string)
}
