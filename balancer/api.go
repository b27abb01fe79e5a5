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

// Effect says what running a request twice does.
type Effect uint8

// The effects a class can have.
const (
	Safe   Effect = iota // running it again is harmless
	Keyed                // workers of one group drop its repeats for a while
	Unsafe               // it must never run twice
)

// Scope says which workers share the memory of a keyed request.
type Scope uint8

// The scopes of a keyed class.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// SizeMeaning says what the list's worker sizes mean.
type SizeMeaning uint8

// What a worker's Size can mean.
const (
	SizeNone    SizeMeaning = iota // nothing
	SizeNominal                    // the registered capacity
	SizeRough                      // about the capacity
	SizeLive                       // the capacity over one more than the requests held a core, late
)

// Class describes one class of requests.
type Class struct {
	Name      string
	Aim       time.Duration // an answer within it, and Stretch, earns the whole worth
	Stretch   float64       // the aim grows by this many times the job's own running time
	Deadline  time.Duration // the client's patience over all its tries
	Worth     float64
	LateShare float64 // the share of Worth still earned after the aim; the module refuses what would be late
	Effect    Effect
	Scope     Scope         // for Keyed
	Window    time.Duration // for Keyed: how long repeats are dropped
	Stream    bool          // the answer streams; see Streaming
	Kind      int           // the kind of worker that it needs, or -1
	Priority  int
	Attempts  int // attempts for each request, within Limits.Attempts; 0: as many as those
}

// Tenant is one of the customers that share the fleet.
type Tenant struct {
	Name      string
	Share     float64
	Allowance float64 // requests a second within its share, over all dispatchers; 0: not limited
}

// Limits says what the deployment lets a dispatcher do.
type Limits struct {
	Attempts       int // attempts for each request
	Cancel         bool
	Probes         bool
	Peers          bool
	RetryAfter     bool
	SecondCopies   bool // two attempts of a request may be out at once
	ConnectTimeout time.Duration
	ConnIdle       time.Duration
	MaxRetryAfter  time.Duration
}

// Rules are the figures of the rules: four that always hold, and two that bind where they are stated.
type Rules struct {
	AnswerSlack    time.Duration
	AskEvery       time.Duration // where the list must be asked for: how often at least
	DrainGrace     time.Duration
	ColdShare      float64       // a worker starts with this share of its capacity
	Cold           time.Duration // and is warm after this
	OverloadFactor float64       // sent more than this many times its capacity
	Fall           time.Duration // for this long, a cold worker falls over
	Budget         time.Duration // further attempts are limited in any window of this length; 0: not at all
	FreeFurther    float64       // so many of them
	FurtherShare   float64       // and so many more for each request taken in the window
	FullUnproven   bool          // Full doesn't prove that the job never ran
}

// Goal weighs the parts of the result.
type Goal struct {
	Whole, WorstWindow, WorstClass, WorstTenant float64
	Punctual                                    float64 // by class and 5 s, in full while few miss the aim
	MissAllowed                                 float64 // not a weight: the share that may miss it
}

// Prices are what each unit of a cost takes off the result.
type Prices struct {
	CrossZone, Waste, Connection, Handshake, Probe, Peer, LateFail float64
}

// Settings is what a dispatcher is told at its start.
type Settings struct {
	Me, Fleet    int // this dispatcher's number, and how many there are
	Zone         int
	Zones        int
	Kinds        int
	Classes      []Class
	Tenants      []Tenant
	Size         SizeMeaning
	MustAsk      bool // list changes come only after Watch or Fetch
	WorthByWork  bool // worth counts for each unit of work
	OverShare    float64
	TellsStart   bool          // workers tell when a job starts
	Progress     time.Duration // and how far it is, this often; 0: never
	Tick         time.Duration // the least time between two events
	ReportProbed bool          // load reports come only with probes
	Limits       Limits
	Rules        Rules
	Goal         Goal
	Prices       Prices
}

// State is the life of a worker as the list tells it.
type State uint8

// The states of a worker.
const (
	Removed State = iota
	Ready
	Draining
)

// Worker is an entry of the list.
type Worker struct {
	ID    WorkerID
	Zone  int
	Kind  int
	Cell  int
	State State
	Size  float64
	Since time.Duration // when it last started; 0: a long time ago

	Labels []string // the operators' words for it; decisions go by them only through a Route
}

// Route narrows the workers that a request may go to, and orders them in tiers. The draw
// is made among those of one tier. It must give the same answers as long as the request
// is open, and lifts no bar: what may not be sent to a worker anyway is not sent.
type Route interface {
	// Tiers is how many there are.
	Tiers() int
	// Tier is where a worker stands: from 0, the most wanted. Below 0: not at all.
	Tier(w *Worker) int
	// Spills says whether a request that no worker of a tier takes now may go on to the
	// next: busy, because the wait there is not worth it; else no worker there may have it.
	Spills(tier int, busy bool) bool
}

// ListKind says how a list event is to be read.
type ListKind uint8

// The kinds of list event.
const (
	Changes ListKind = iota // only what changed
	Whole                   // everything; what is absent is removed
	Cached                  // everything as last seen, perhaps old
	Failed                  // no list: a call failed or the subscription ended
)

// Request is a job that a client has handed to this dispatcher.
type Request struct {
	ID     RequestID
	Class  int
	Tenant int
	Left   time.Duration // until the client gives this try up
	Work   time.Duration // expected running time on a standard core; 0: not told
	Slots  float64       // slots that it takes; 0: not told
	Memory float64       // units of memory that it takes; 0: not told
	Repeat bool          // the client marks it as a repeat

	Route    Route // nil: any worker
	Attempts int   // within the class's; 0: as many
}

// Result says how an attempt or a probe ended.
type Result uint8

// The results of an attempt.
const (
	OK            Result = iota
	Error                // the worker answered with an error; the job may have run
	Full                 // turned away; unseen, unless Rules.FullUnproven
	TimedOut             // no answer in time; may have run, may be running
	ConnectFailed        // no connection; never ran
	Reset                // the connection broke; may have run
	Cancelled            // may have run
	Moot                 // never sent
	Rejected             // the worker can't make sense of the job; any other would say the same
)

// Unrun reports whether the result proves that the job never ran, where Full proves it.
func (r Result) Unrun() bool { return r == Full || r == ConnectFailed || r == Moot }

// Report is a worker's load report, late and noisy. A negative value was not told.
type Report struct {
	Told       bool // a report came at all
	FreeSlots  float64
	FreeMemory float64
	InFlight   float64 // requests in hand
	Queue      float64 // requests waiting
	Busy       float64 // the share of the CPU in use
	Served     float64 // requests a second
	Failed     float64 // errors a second
}

// NoReport is the report that did not come.
var NoReport = Report{false, -1, -1, -1, -1, -1, -1, -1}

// Outcome is the end of an attempt.
type Outcome struct {
	ID      RequestID
	Attempt int // 0 for a request's first Send, then 1, ...
	Worker  WorkerID
	Result  Result
	Took    time.Duration
	Settled bool // the client has its answer
	Report  Report
}

// Note is news of an attempt that is still out.
type Note struct {
	ID      RequestID
	Attempt int
	Worker  WorkerID
	Started bool    // the job has started; otherwise it is at Done
	Done    float64 // the share done
}

// Everyone is the peer number that means every other dispatcher.
const Everyone = -1

// Actions is what the module can have its host do.
type Actions interface {
	// Send starts an attempt, to be dropped at the clock time until (0: when
	// the client gives up).
	Send(id RequestID, w WorkerID, until time.Duration)
	// Refuse is a final answer: trying again is harmless, after the wait.
	Refuse(id RequestID, retryAfter time.Duration)
	// Fail is a final answer that promises nothing.
	Fail(id RequestID)
	// Cancel stops waiting for an attempt.
	Cancel(id RequestID, attempt int)
	// Probe asks a worker for its load.
	Probe(w WorkerID)
	// Watch asks for list changes, or stops them.
	Watch(on bool)
	// Fetch asks for the whole list once.
	Fetch()
	// After asks for a Timer with the token.
	After(d time.Duration, token uint64)
	// Tell sends at most 256 bytes to a peer, or to Everyone.
	Tell(peer int, data []byte)
	// CloseIdle closes the idle connections to a worker.
	CloseIdle(w WorkerID)
	// Log adds a line for the people on call.
	Log(text string)
}
