package broker

import (
	"time"

	"github.com/sirupsen/logrus"

	"moorstack/balancer"
	"moorstack/internal/slotmap"
)

// Clock provides the current time and timers.
type Clock interface {
	// Now returns the time since an origin specific to this clock. It never decreases.
	Now() time.Duration
	// At calls f on the broker's goroutine at the given time.
	At(at time.Duration, f func()) Timer
}

// Timer is a pending call of Clock.At.
type Timer interface {
	// Stop cancels the call. It has no effect on a timer that has fired.
	Stop()
}

// Broker connects the fronts, the endpoints and one balancer. It must be used from one goroutine only.
type Broker struct {
	balancer  *balancer.Balancer
	settings  balancer.Settings
	clock     Clock
	source    EndpointSource // nil: the front pushes the endpoint list
	log       logrus.FieldLogger
	admission AdmissionController // nil: every request is admitted

	requests  map[balancer.RequestID]*request
	pending   int // requests without their final response
	attempts  slotmap.Map[*attempt]
	endpoints map[balancer.WorkerID]*endpoint
	idByName  map[string]balancer.WorkerID

	maintenance maintenance
	subset      map[string]bool // names of the endpoints to use; nil: all
	ejected     map[string]bool // names of the endpoints that the group has ejected as outliers

	onListUpdate func()                                     // may be nil
	onAttemptEnd func(endpoint string, res balancer.Result) // may be nil

	deferred        []func() // calls that wait for the running one to return
	runningDeferred bool
}

// New creates a broker and its balancer. The same seed and events lead to the same decisions. source may be
// nil if the endpoint list is pushed. New returns an error if the balancer does not accept the settings.
func New(settings balancer.Settings, seed uint64, clock Clock, source EndpointSource,
	log logrus.FieldLogger) (*Broker, error) {
	b := &Broker{settings: settings, clock: clock, source: source, log: log,
		requests: map[balancer.RequestID]*request{}, endpoints: map[balancer.WorkerID]*endpoint{},
		idByName: map[string]balancer.WorkerID{}, maintenance: newMaintenance()}
	var err error
	b.balancer, err = balancer.New(settings, seed, actions{b})
	return b, err
}

// SetAdmissionController sets the controller that every request must pass before it reaches the balancer.
func (b *Broker) SetAdmissionController(a AdmissionController) { b.admission = a }

// CanConfigure returns an error if the settings must not be passed to Configure.
func (b *Broker) CanConfigure(settings balancer.Settings) error {
	return b.balancer.CanConfigure(settings)
}

// Configure applies the classes and tenants of settings that CanConfigure has accepted. An open request
// keeps the class with which it was submitted.
func (b *Broker) Configure(settings balancer.Settings) {
	b.settings.Classes = settings.Classes
	b.run(func() { b.balancer.Configure(settings) })
}

// run calls f after all calls that have been deferred before.
//
// Calls are deferred because the balancer must not be called from within its own actions, and a front may
// call the broker from within Client.Respond.
func (b *Broker) run(f func()) {
	b.deferred = append(b.deferred, f)
	if b.runningDeferred {
		return
	}
	b.runningDeferred = true
	for len(b.deferred) > 0 {
		next := b.deferred[0]
		b.deferred = b.deferred[1:]
		next()
	}
	b.deferred, b.runningDeferred = nil, false
}
