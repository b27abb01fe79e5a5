package balancer

import "time"

// Idempotency says whether a request may run twice.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // running it again is harmless
	IdempotentByKey                    // workers in its key scope drop repeats of it within the key window
	NonIdempotent                      // it must never run twice
)

// KeyScope says which workers share idempotency keys.
type KeyScope uint8

// The scopes of idempotency keys.
const (
	ScopeAll KeyScope = iota
	ScopeZone
	ScopeCell
)

// SizeMeaning is the meaning of the sizes of workers in the list.
type SizeMeaning uint8

// The meanings of Worker.Size.
const (
	SizeNone        SizeMeaning = iota // none
	SizeNominal                        // the registered capacity
	SizeApproximate                    // approximately the capacity
	SizeLive                           // the capacity divided by one more than the requests per core, delayed
)

// Class is the configuration of a class of requests.
type Class struct {
	Name string
	// LatencyObjective is the time within which a response has its full priority weight.
	LatencyObjective time.Duration
	// ObjectiveStretch extends the objective by this multiple of the request's own running time.
	ObjectiveStretch float64
	// Timeout is how long a client waits, over all attempts of its request.
	Timeout        time.Duration
	PriorityWeight float64
	// LateShare is the share of PriorityWeight that a response still has after the objective. Requests that
	// are expected to be late are rejected.
	LateShare   float64
	Idempotency Idempotency
	KeyScope    KeyScope      // for IdempotentByKey
	KeyWindow   time.Duration // for IdempotentByKey: how long repeats are dropped
	Streaming   bool          // responses are streamed; see Balancer.StreamStarted
	WorkerKind  int           // the kind of worker that it requires; -1: any
	Priority    int           // not used by decisions
	MaxAttempts int           // limit for each request, below Limits.MaxAttempts; 0: none
}

// Tenant is a customer that shares the workers with others.
type Tenant struct {
	Name           string
	CapacityShare  float64 // of all workers, 0 to 1
	QuotaPerSecond float64 // requests within its share, over all dispatchers; 0: unlimited
}

// Limits says what the deployment allows a dispatcher to do.
type Limits struct {
	MaxAttempts    int  // for each request
	CanCancel      bool // attempts in flight can be cancelled
	HealthChecks   bool // load reports can be requested
	PeerMessages   bool // dispatchers can send each other messages
	RetryAfter     bool // rejections can include a time
	HedgedRequests bool // a request may have two attempts in flight at once
	ConnectTimeout time.Duration
	IdleTimeout    time.Duration // of connections
	MaxRetryAfter  time.Duration
}

// Rules are the limits that a dispatcher must keep.
type Rules struct {
	ResponseSlack     time.Duration // how long after the deadline a final response may still be sent
	ListPollInterval  time.Duration // the longest time between calls for the list, if it must be requested
	DrainGrace        time.Duration // how long a draining worker may still get requests
	SlowStartMinShare float64       // the share of its capacity that a worker has at its start
	SlowStartWindow   time.Duration // the time after which it has its full capacity
	OverloadFactor    float64       // a warming worker fails above this multiple of its capacity
	OverloadWindow    time.Duration // the time over which that load is measured
	RetryBudgetWindow time.Duration // the window of the retry budget; 0: retries are unlimited
	RetryBudgetBase   float64       // retries allowed in any window
	RetryBudgetShare  float64       // further retries allowed for each request submitted in the window
	FullMayHaveRun    bool          // WorkerFull does not prove that the request never ran
}

// ProvesNeverRan reports whether an attempt's end proves that the request never ran. With FullMayHaveRun, a
// worker may also reject a request that it has begun.
func (r *Rules) ProvesNeverRan(result Result) bool {
	return result.NeverRan() && !(result == WorkerFull && r.FullMayHaveRun)
}

// Goal weights the parts of the score that decisions maximize.
type Goal struct {
	Overall     float64
	WorstWindow float64
	WorstClass  float64
	WorstTenant float64
	OnTime      float64 // for each class and 5 s; in full if few responses miss the latency objective
	// AllowedMissShare is not a weight but the share of responses that may miss the objective.
	AllowedMissShare float64
}

// Costs holds, for each item, the amount that one unit of it deducts from the score.
type Costs struct {
	CrossZone   float64 // an attempt at a worker in another zone
	WastedWork  float64
	Connection  float64
	Handshake   float64
	HealthCheck float64
	PeerMessage float64
	LateFailure float64
}

// Settings are the configuration of a dispatcher.
type Settings struct {
	DispatcherIndex int // of this dispatcher, from 0
	DispatcherCount int
	Zone            int // of this dispatcher
	ZoneCount       int
	WorkerKinds     int // number of kinds
	Classes         []Class
	Tenants         []Tenant

	SizeMeaning        SizeMeaning
	ListOnRequest      bool          // the list changes only after Actions.WatchList
	WeightByWork       bool          // priority weights apply to each unit of work instead of each request
	OverQuotaWeight    float64       // factor on the priority weight of requests over quota
	ReportsStart       bool          // workers report when a request starts running
	ProgressInterval   time.Duration // interval of progress reports on running requests; 0: none
	MinEventInterval   time.Duration // the least time between two events
	LoadReportsByCheck bool          // load reports come only with health checks

	Limits Limits
	Rules  Rules
	Goal   Goal
	Costs  Costs
}
