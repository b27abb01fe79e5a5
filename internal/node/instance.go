package node

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/sirupsen/logrus"

	"moorstack/internal/cluster/calendar"
	"moorstack/internal/operate/controlapi"
	"moorstack/internal/proxy/routing"
)

// Instance is a node that agrees with others on its configuration: a Node, the consensus module, the
// transport to the other instances, the drivers, and the control service.
type Instance struct {
	cfg     *ServeConfig
	log     logrus.FieldLogger
	program string // the program's version
	env     *environment
	names   routing.KnownNames
	zones   *calendar.ZoneDB

	admission    *admission
	configurator *configurator
	rateLimit    *rateLimitDriver
	schedule     *scheduleDriver
	membership   *membershipDriver
	outliers     *outlierDriver
	tasks        *taskDriver
	listServer   *listServer
	listFollower *listFollower
	restart      *selfRestart
	control      *controlapi.Server

	started []service // in the order in which they were started
}

// service is a started service and the function that stops it.
type service struct {
	name string
	stop func() error
}

// onStop registers a started service. Services are stopped in the opposite order.
func (i *Instance) onStop(name string, stop func() error) {
	i.started = append(i.started, service{name, stop})
}

// stop stops the services that were started, the last one first.
func (i *Instance) stop() error {
	var errs []error
	for n := len(i.started) - 1; n >= 0; n-- {
		if err := i.started[n].stop(); err != nil {
			errs = append(errs, fmt.Errorf("stopping %s: %w", i.started[n].name, err))
		}
	}
	i.started = nil
	return errors.Join(errs...)
}

// NewInstance builds an instance and opens its listeners. program is the program's version. If opening fails,
// the services that were started already are stopped.
func NewInstance(cfg *ServeConfig, program string, log logrus.FieldLogger) (*Instance, error) {
	i := &Instance{cfg: cfg, log: log, program: program, env: &environment{name: cfg.Name, log: log}}
	if err := i.open(); err != nil {
		return nil, errors.Join(err, i.stop())
	}
	return i, nil
}

// Run serves until the node has shut down. If it returns ErrRestart, the caller must start the program again
// in place of this process.
func (i *Instance) Run(signals <-chan os.Signal) error {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go i.configurator.run(ctx)
	err := errors.Join(i.env.node.Run(i.restart.mergeSignals(signals)), i.stop())
	if err == nil && i.restart.shouldRestart() {
		return ErrRestart
	}
	return err
}
