package balancer

import "time"

// Idempotency is what running a request twice does.
type Idempotency uint8

// The idempotency that a class can have.
const (
	Idempotent      Idempotency = iota // running it again is harmless
	IdempotentByKey                    // workers that share a key memory drop its repeats for a while
	NonIdempotent                      // it must never run twice
)

// KeyScope is which workers share the memory of idempotency keys.
type KeyScope uint8

// The scopes of idempotency keys.
const (
	ScopeAll KeyScope = iota
	ScopeZone
	ScopeCell
)

// SizeMeaning is what the sizes of workers in the list mean.
type SizeMeaning uint8

// What a worker's Size can mean.
const (
	SizeNone        SizeMeaning = iota // nothing
	SizeNominal                        // the registered capacity
	SizeApproximate                    // about the capacity
	SizeLive                           // the capacity over one more than the requests a core, delayed
)

// Class describes one class of requests.
type Class struct {
	Name string
	// LatencyObjective is the time within which a response earns the whole priority weight.
	LatencyObjective time.Duration
	// ObjectiveStretch: the objective grows by this many times the request's own running time.
	ObjectiveStretch float64
	// Timeout is how long a client waits, over all attempts of its request.
	Timeout        time.Duration
	PriorityWeight float64
	// LateShare is the share of PriorityWeight that a response after the objective still earns. The balancer
	// rejects what would be late.
	LateShare   float64
	Idempotency Idempotency
	KeyScope    KeyScope      // of IdempotentByKey
	KeyWindow   time.Duration // of IdempotentByKey: for how long repeats are dropped
	Streaming   bool          // responses are streamed; see Balancer.StreamStarted
	WorkerKind  int           // the kind of worker that it needs; -1: any
	Priority    int           // not used by decisions
	MaxAttempts int           // for each request, within Limits.MaxAttempts; 0: as many as those
}

// Tenant is one of the customers that share the workers.
type Tenant struct {
	Name           string
	CapacityShare  float64 // of the workers, 0 to 1
	QuotaPerSecond float64 // requests within its share, over all dispatchers; 0: not limited
}

// Limits is what the deployment lets a dispatcher do.
type Limits struct {
	MaxAttempts    int  // of each request
	CanCancel      bool // attempts in flight can be cancelled
	HealthChecks   bool // load reports can be requested
	PeerMessages   bool // dispatchers can send each other messages
	RetryAfter     bool // rejections can name a time
	HedgedRequests bool // two attempts of a request may be in flight at once
	ConnectTimeout time.Duration
	IdleTimeout    time.Duration // of connections
	MaxRetryAfter  time.Duration
}

// Rules are the limits that a dispatcher is judged by.
type Rules struct {
	ResponseSlack     time.Duration // a final response may come so long after the deadline
	ListPollInterval  time.Duration // where the list must be requested: at least so often
	DrainGrace        time.Duration // a draining worker may get requests for so long
	SlowStartMinShare float64       // a worker starts with this share of its capacity
	SlowStartWindow   time.Duration // and has warmed up after this
	OverloadFactor    float64       // a worker that gets more than this many times its capacity fails
	OverloadWindow    time.Duration // if it gets that over this time while it warms up
	RetryBudgetWindow time.Duration // retries are limited in any window of this length; 0: they are not
	RetryBudgetBase   float64       // to this many
	RetryBudgetShare  float64       // and this many more for each request submitted in the window
	FullMayHaveRun    bool          // WorkerFull does not prove that the request never ran
}

// Goal weighs the parts of the score that decisions aim at.
type Goal struct {
	Overall     float64
	WorstWindow float64
	WorstClass  float64
	WorstTenant float64
	OnTime      float64 // by class and 5 s, in full while few responses miss the latency objective
	// AllowedMissShare is no weight, but the share of responses that may miss the objective.
	AllowedMissShare float64
}

// Costs are what one unit of each takes off the score.
type Costs struct {
	CrossZone   float64 // an attempt at a worker of another zone
	WastedWork  float64
	Connection  float64
	Handshake   float64
	HealthCheck float64
	PeerMessage float64
	LateFailure float64
}

// Settings are a dispatcher's configuration.
type Settings struct {
	DispatcherIndex int // this dispatcher's, from 0
	DispatcherCount int
	Zone            int // this dispatcher's
	ZoneCount       int
	WorkerKinds     int // how many there are
	Classes         []Class
	Tenants         []Tenant

	SizeMeaning        SizeMeaning
	ListOnRequest      bool          // the list changes only after Actions.WatchList
	WeightByWork       bool          // priority weights count for each unit of work, not for each request
	OverQuotaWeight    float64       // factor on the priority weight of requests over their tenant's quota
	ReportsStart       bool          // workers report when a request starts running
	ProgressInterval   time.Duration // and how far it is, this often; 0: never
	MinEventInterval   time.Duration // the least time between two events
	LoadReportsByCheck bool          // load reports come only with health checks

	Limits Limits
	Rules  Rules
	Goal   Goal
	Costs  Costs
}
