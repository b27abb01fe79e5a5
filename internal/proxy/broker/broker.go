package broker

import (
	"time"

	"github.com/sirupsen/logrus"

	"moorstack/balancer"
	"moorstack/internal/proxy/slotmap"
)

// Clock gives the time and runs timers.
type Clock interface {
	// Now is the time since an origin of the clock's own. It never goes back.
	Now() time.Duration
	// At calls f on the broker's goroutine once the time has come.
	At(at time.Duration, f func()) Timer
}

// Timer is a pending call of Clock.At.
type Timer interface {
	// Stop prevents the call. It has no effect on a timer that has fired.
	Stop()
}

// Broker connects the fronts, the endpoints and one balancer. New makes one. It is used from one goroutine.
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
	subset      map[string]bool // names of endpoints that are used; nil: all
	ejected     map[string]bool // names of endpoints that the group's outlier verdicts exclude

	onListUpdate func()                                     // may be nil
	onAttemptEnd func(endpoint string, res balancer.Result) // may be nil

	deferred   []func() // calls that wait for the one that runs
	inDeferred bool
}

// New makes a broker and its balancer. The same seed and events give the same decisions. source may be nil,
// where the endpoint list is pushed. It returns an error for settings that the balancer does not accept.
func New(settings balancer.Settings, seed uint64, clock Clock, source EndpointSource,
	log logrus.FieldLogger) (*Broker, error) {
	b := &Broker{settings: settings, clock: clock, source: source, log: log,
		requests: map[balancer.RequestID]*request{}, endpoints: map[balancer.WorkerID]*endpoint{},
		idByName: map[string]balancer.WorkerID{}, maintenance: newMaintenance()}
	var err error
	b.balancer, err = balancer.New(settings, seed, actions{b})
	return b, err
}

// SetAdmissionController has a decide on every request before the balancer sees it.
func (b *Broker) SetAdmissionController(a AdmissionController) { b.admission = a }

// CanConfigure returns an error if Configure must not be called with the settings.
func (b *Broker) CanConfigure(settings balancer.Settings) error {
	return b.balancer.CanConfigure(settings)
}

// Configure applies the classes and the tenants of settings that CanConfigure has accepted. An open request
// keeps the class that it was submitted with.
func (b *Broker) Configure(settings balancer.Settings) {
	b.run(func() { b.balancer.Configure(settings) })
}

// run calls f, after all calls that are deferred already.
//
// The balancer must not be called from within its own actions, and a front may call the broker from within a
// response.
func (b *Broker) run(f func()) {
	b.deferred = append(b.deferred, f)
	if b.inDeferred {
		return
	}
	b.inDeferred = true
	for len(b.deferred) > 0 {
		next := b.deferred[0]
		b.deferred = b.deferred[1:]
		next()
	}
	b.deferred, b.inDeferred = nil, false
}
