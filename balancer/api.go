// Package balancer decides, for one dispatcher, which worker gets which job.
//
// A [Balancer] is told what happens (a request arrives, an attempt ends, the
// list of workers changes, a timer comes due) and answers by calling the
// [Actions] of its host, in order, before the method returns. It owns no clock,
// no goroutine and no socket, so the same events always give the same actions.
//
// What the host owes the module:
//
//   - all calls come from one goroutine, or under one lock;
//   - the time given never goes back; it counts from any origin;
//   - each [Actions.Send] is followed by exactly one Outcome, in time-out at the
//     attempt's limit at the latest, and each [Actions.After] by one Timer;
//   - Actions methods do not call back into the Balancer.
//
// What the host may rely on: one final answer for each Request (an Outcome with
// Settled set, Refuse or Fail), no later than its deadline and the answer slack.
package balancer

import "time"

// RequestID names one request of a client. An ID is never used twice.
type RequestID string

// WorkerID names a worker. It says nothing of the worker.
type WorkerID uint32

// Idempotency says what running a request twice does.
type Idempotency uint8

// The effects a class can have.
const (
	Idempotent      Idempotency = iota // running it again is harmless
	IdempotentByKey                    // workers of one group drop its repeats for a while
	NonIdempotent                      // it must never run twice
)

// KeyScope says which workers share the memory of a keyed request.
type KeyScope uint8

// The scopes of a keyed class.
const (
	ScopeAll KeyScope = iota
	ScopeZone
	ScopeCell
)

// SizeMeaning says what the list's worker sizes mean.
type SizeMeaning uint8

// What a worker's Size can mean.
const (
	SizeNone        SizeMeaning = iota // nothing
	SizeNominal                        // the registered capacity
	SizeApproximate                    // about the capacity
	SizeLive                           // the capacity over one more than the requests held a core, late
)

// Class describes one class of requests.
type Class struct {
	Name             string
	LatencyObjective time.Duration // an answer within it, and Stretch, earns the whole worth
	ObjectiveStretch float64       // the aim grows by this many times the job's own running time
	Timeout          time.Duration // the client's patience over all its tries
	PriorityWeight   float64
	// the share of Worth still earned after the aim; the module refuses what would be late
	LateShare   float64
	Idempotency Idempotency
	KeyScope    KeyScope      // for Keyed
	KeyWindow   time.Duration // for Keyed: how long repeats are dropped
	Streaming   bool          // the answer streams; see Streaming
	WorkerKind  int           // the kind of worker that it needs, or -1
	Priority    int
	MaxAttempts int // attempts for each request, within Limits.Attempts; 0: as many as those
}

// Tenant is one of the customers that share the fleet.
type Tenant struct {
	Name           string
	CapacityShare  float64
	QuotaPerSecond float64 // requests a second within its share, over all dispatchers; 0: not limited
}

// Limits says what the deployment lets a dispatcher do.
type Limits struct {
	MaxAttempts    int // attempts for each request
	CanCancel      bool
	HealthChecks   bool
	PeerMessages   bool
	RetryAfter     bool
	HedgedRequests bool // two attempts of a request may be out at once
	ConnectTimeout time.Duration
	IdleTimeout    time.Duration
	MaxRetryAfter  time.Duration
}

// Rules are the figures of the rules: four that always hold, and two that bind where they are stated.
type Rules struct {
	ResponseSlack     time.Duration
	ListPollInterval  time.Duration // where the list must be asked for: how often at least
	DrainGrace        time.Duration
	SlowStartMinShare float64       // a worker starts with this share of its capacity
	SlowStartWindow   time.Duration // and is warm after this
	OverloadFactor    float64       // sent more than this many times its capacity
	OverloadWindow    time.Duration // for this long, a cold worker falls over
	// further attempts are limited in any window of this length; 0: not at all
	RetryBudgetWindow time.Duration
	RetryBudgetBase   float64 // so many of them
	RetryBudgetShare  float64 // and so many more for each request taken in the window
	FullMayHaveRun    bool    // Full doesn't prove that the job never ran
}

// Goal weighs the parts of the result.
type Goal struct {
	Overall, WorstWindow, WorstClass, WorstTenant float64
	OnTime                                        float64 // by class and 5 s, in full while few miss the aim
	AllowedMissShare                              float64 // not a weight: the share that may miss it
}

// Costs are what each unit of a cost takes off the result.
type Costs struct {
	CrossZone, WastedWork, Connection, Handshake, HealthCheck, PeerMessage, LateFailure float64
}

// Settings is what a dispatcher is told at its start.
type Settings struct {
	DispatcherIndex, DispatcherCount int // this dispatcher's number, and how many there are
	Zone                             int
	ZoneCount                        int
	WorkerKinds                      int
	Classes                          []Class
	Tenants                          []Tenant
	SizeMeaning                      SizeMeaning
	ListOnRequest                    bool // list changes come only after Watch or Fetch
	WeightByWork                     bool // worth counts for each unit of work
	OverQuotaWeight                  float64
	ReportsStart                     bool          // workers tell when a job starts
	ProgressInterval                 time.Duration // and how far it is, this often; 0: never
	MinEventInterval                 time.Duration // the least time between two events
	LoadReportsByCheck               bool          // load reports come only with probes
	Limits                           Limits
	Rules                            Rules
	Goal                             Goal
	Costs                            Costs
}

// WorkerState is the life of a worker as the list tells it.
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
	Size      float64
	StartedAt time.Duration // when it last started; 0: a long time ago

	Labels []string // the operators' words for it; decisions go by them only through a Route
}

// Route narrows the workers that a request may go to, and orders them in tiers. The draw
// is made among those of one tier. It must give the same answers as long as the request
// is open, and lifts no bar: what may not be sent to a worker anyway is not sent.
type Route interface {
	// TierCount is how many there are.
	TierCount() int
	// Tier is where a worker stands: from 0, the most wanted. Below 0: not at all.
	Tier(w *Worker) int
	// SpillsOver says whether a request that no worker of a tier takes now may go on to the
	// next: busy, because the wait there is not worth it; else no worker there may have it.
	SpillsOver(tier int, busy bool) bool
}

// ListUpdateKind says how a list event is to be read.
type ListUpdateKind uint8

// The kinds of list event.
const (
	ListDelta       ListUpdateKind = iota // only what changed
	ListFull                              // everything; what is absent is removed
	ListCached                            // everything as last seen, perhaps old
	ListUnavailable                       // no list: a call failed or the subscription ended
)

// Request is a job that a client has handed to this dispatcher.
type Request struct {
	ID           RequestID
	Class        int
	Tenant       int
	Timeout      time.Duration // until the client gives this try up
	ExpectedWork time.Duration // expected running time on a standard core; 0: not told
	Slots        float64       // slots that it takes; 0: not told
	Memory       float64       // units of memory that it takes; 0: not told
	IsRetry      bool          // the client marks it as a repeat

	Route       Route // nil: any worker
	MaxAttempts int   // within the class's; 0: as many
}

// Result says how an attempt or a probe ended.
type Result uint8

// The results of an attempt.
const (
	OK              Result = iota
	ServerError            // the worker answered with an error; the job may have run
	WorkerFull             // turned away; unseen, unless Rules.FullUnproven
	TimedOut               // no answer in time; may have run, may be running
	ConnectFailed          // no connection; never ran
	ConnectionReset        // the connection broke; may have run
	Cancelled              // may have run
	NotSent                // never sent
	Unprocessable          // the worker can't make sense of the job; any other would say the same
)

// NeverRan reports whether the result proves that the job never ran, where Full proves it.
func (r Result) NeverRan() bool { return r == WorkerFull || r == ConnectFailed || r == NotSent }

// LoadReport is a worker's load report, late and noisy. A negative value was not told.
type LoadReport struct {
	Received        bool // a report came at all
	FreeSlots       float64
	FreeMemory      float64
	InFlight        float64 // requests in hand
	QueueLength     float64 // requests waiting
	CPUShare        float64 // the share of the CPU in use
	ServedPerSecond float64 // requests a second
	FailedPerSecond float64 // errors a second
}

// NoLoadReport is the report that did not come.
var NoLoadReport = LoadReport{false, -1, -1, -1, -1, -1, -1, -1}

// AttemptOutcome is the end of an attempt.
type AttemptOutcome struct {
	ID        RequestID
	Attempt   int // 0 for a request's first Send, then 1, ...
	Worker    WorkerID
	Result    Result
	Took      time.Duration
	Responded bool // the client has its answer
	Report    LoadReport
}

// AttemptProgress is news of an attempt that is still out.
type AttemptProgress struct {
	ID       RequestID
	Attempt  int
	Worker   WorkerID
	Started  bool    // the job has started; otherwise it is at Done
	Fraction float64 // the share done
}

// AllPeers is the peer number that means every other dispatcher.
const AllPeers = -1

// Actions is what the module can have its host do.
type Actions interface {
	// Send starts an attempt, to be dropped at the clock time until (0: when
	// the client gives up).
	Send(id RequestID, w WorkerID, until time.Duration)
	// Reject is a final answer: trying again is harmless, after the wait.
	Reject(id RequestID, retryAfter time.Duration)
	// Fail is a final answer that promises nothing.
	Fail(id RequestID)
	// Cancel stops waiting for an attempt.
	Cancel(id RequestID, attempt int)
	// CheckHealth asks a worker for its load.
	CheckHealth(w WorkerID)
	// WatchList asks for list changes, or stops them.
	WatchList(on bool)
	// FetchList asks for the whole list once.
	FetchList()
	// SetTimer asks for a Timer with the token.
	SetTimer(d time.Duration, token uint64)
	// SendPeer sends at most 256 bytes to a peer, or to Everyone.
	SendPeer(peer int, data []byte)
	// CloseIdle closes the idle connections to a worker.
	CloseIdle(w WorkerID)
	// Log adds a line for the people on call.
	Log(text string)
}
