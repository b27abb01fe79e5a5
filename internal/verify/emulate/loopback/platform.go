// Package loopback is a stand-in for the platform round a real node: the emulator's workers and a discovery
// service over loopback sockets, in real time. The model of a worker is the same as in virtual time; it
// speaks the platform's protocol.
package loopback

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"moorstack/internal/verify/emulate"
)

const (
	// clockInterval is how often the model's clock catches up with the real one.
	clockInterval = time.Millisecond
	// headerTimeout is for a request's header, at each server.
	headerTimeout = 5 * time.Second
	// callBackTimeout is for one try of a call-back.
	callBackTimeout = 2 * time.Second
	anyLoopbackPort = "127.0.0.1:0"
)

// Options are what a platform consists of.
type Options struct {
	Node    string // the node's address, for call-backs
	Listen  string // of the discovery service; a free port, if empty
	Workers int
	Spec    emulate.WorkerSpec
	Zone    string
	Kind    string
	Seed    uint64
	// OnJob, where it is set, is called with each job that a worker is sent: the worker and the request's
	// id. It is called on many goroutines and must not block.
	OnJob func(worker, id string)
	// FailJob, where it is set, says whether a worker fails a job at once. Likewise.
	FailJob func(worker string) bool
}

// Platform is workers and a discovery service that listen. Its methods are safe for use by many goroutines,
// but for Close, CrashWorker and RestartWorker, which are for one.
type Platform struct {
	options          Options
	startedAt        time.Time
	workers          []*worker
	discoveryServer  *http.Server
	discoveryAddress string
	client           *http.Client // for call-backs
	stop             context.CancelFunc
	running          sync.WaitGroup // the clock's goroutine

	mu      sync.Mutex // over all below, and the workers' models and states
	clock   emulate.Clock
	watches map[chan []byte]bool
	version int64 // of the endpoint list
}

// CheckAddress fails for an address that is not of this machine's loopback interface.
func CheckAddress(address string) error {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("%q is not an address and a port", address)
	}
	if !at.Addr().Unmap().IsLoopback() {
		return fmt.Errorf("%s is not on loopback; nothing is sent to other machines", address)
	}
	return nil
}

// Start makes a platform and has it listen. The caller must close it.
func Start(o Options) (*Platform, error) {
	if err := CheckAddress(o.Node); err != nil {
		return nil, err
	}
	if o.Listen == "" {
		o.Listen = anyLoopbackPort
	}
	p := &Platform{options: o, startedAt: time.Now(), watches: map[chan []byte]bool{}, version: 1,
		client: &http.Client{Timeout: callBackTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	if err := p.listen(); err != nil {
		p.Close()
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	p.running.Go(func() { p.runClock(ctx) })
	return p, nil
}

// listen starts the workers' servers and the discovery service's.
func (p *Platform) listen() error {
	streams := emulate.RandomStreams{Seed: p.options.Seed}
	for i := range p.options.Workers {
		name := fmt.Sprintf("w%05d", i)
		w := &worker{platform: p, name: name, cancel: map[string]func(){}, lifecycle: serving}
		w.model = emulate.NewWorker(&p.clock, streams.Source("worker", i), w.name, p.options.Spec)
		if err := w.listen(anyLoopbackPort); err != nil {
			return err
		}
		p.workers = append(p.workers, w)
	}
	l, err := net.Listen("tcp", p.options.Listen)
	if err != nil {
		return err
	}
	p.discoveryAddress = l.Addr().String()
	p.discoveryServer = serve(l, http.HandlerFunc(p.serveDiscovery))
	return nil
}

// serve serves on a goroutine that ends when the server is closed.
func serve(l net.Listener, h http.Handler) *http.Server {
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	go server.Serve(l)
	return server
}

// DiscoveryAddress is where the discovery service listens.
func (p *Platform) DiscoveryAddress() string { return p.discoveryAddress }

// runClock has the model's clock follow the real one.
func (p *Platform) runClock(ctx context.Context) {
	tick := time.NewTicker(clockInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			p.atPresent(func() {})
		}
	}
}

// atPresent brings the model's clock to the present and calls f, both under the lock.
func (p *Platform) atPresent(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clock.Run(time.Since(p.startedAt))
	f()
}

// Close ends the clock and closes all servers. Call-backs that are on their way end by themselves.
func (p *Platform) Close() {
	if p.stop != nil {
		p.stop()
		p.running.Wait()
	}
	if p.discoveryServer != nil {
		p.discoveryServer.Close()
	}
	for _, w := range p.workers {
		if w.server != nil {
			w.server.Close()
		}
	}
}

// worker gives the worker of a number.
func (p *Platform) worker(number int) (*worker, error) {
	if number < 0 || number >= len(p.workers) {
		return nil, fmt.Errorf("there is no worker %d", number)
	}
	return p.workers[number], nil
}

// CrashWorker has a worker die: its connections are reset, its jobs lost.
func (p *Platform) CrashWorker(number int) error {
	w, err := p.worker(number)
	if err != nil {
		return err
	}
	w.server.Close()
	p.atPresent(func() {
		w.model.Crash()
		w.lifecycle = deleted
	})
	p.notifyWatches(w)
	return nil
}

// RestartWorker starts a worker again at its address, in slow start.
func (p *Platform) RestartWorker(number int) error {
	w, err := p.worker(number)
	if err != nil {
		return err
	}
	if err := w.listen(w.address); err != nil {
		return err
	}
	p.atPresent(func() {
		w.model.Restart()
		w.lifecycle, w.startedAtMS = serving, time.Now().UnixMilli()
	})
	p.notifyWatches(w)
	return nil
}
