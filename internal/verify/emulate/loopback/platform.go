// Package loopback emulates the platform around a real node: the emulator's workers and a discovery service,
// over loopback sockets and in real time. It uses the same worker model as virtual time, and speaks the
// platform's protocol.
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
	// clockInterval is the interval at which the model's clock is advanced to real time.
	clockInterval = time.Millisecond
	// headerTimeout limits the reading of a request's header at each server.
	headerTimeout = 5 * time.Second
	// callBackTimeout limits each try of a call-back.
	callBackTimeout = 2 * time.Second
	anyLoopbackPort = "127.0.0.1:0"
)

// Options configure a platform.
type Options struct {
	Node    string // address of the node that receives the call-backs
	Listen  string // address of the discovery service; empty: a free loopback port
	Workers int
	Spec    emulate.WorkerSpec
	Zone    string
	Kind    string
	Seed    uint64
	// OnJob, if set, is called for each job sent to a worker, with the worker's name and the request ID. It
	// may be called concurrently and must not block.
	OnJob func(worker, id string)
	// FailJob, if set, reports whether a worker fails a job at once. It may be called concurrently and must
	// not block.
	FailJob func(worker string) bool
}

// Platform is a set of workers and a discovery service that listen on loopback. Its methods are safe for
// concurrent use, except that Close, CrashWorker and RestartWorker must not be called concurrently with each
// other.
type Platform struct {
	options          Options
	startedAt        time.Time
	workers          []*worker
	discoveryServer  *http.Server
	discoveryAddress string
	client           *http.Client // for call-backs
	stop             context.CancelFunc
	running          sync.WaitGroup // the goroutine of runClock

	mu      sync.Mutex // guards the fields below, and the workers' models and states
	clock   emulate.Clock
	watches map[chan []byte]bool
	version int64 // of the endpoint list
}

// CheckAddress returns an error if the address is not an IP address and port on loopback.
func CheckAddress(address string) error {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return fmt.Errorf("%q is not an IP address and port", address)
	}
	if !at.Addr().Unmap().IsLoopback() {
		return fmt.Errorf("%s is not on loopback; requests to other machines are not allowed", address)
	}
	return nil
}

// Start starts a platform. The caller must close it.
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

// listen starts the servers of the workers and of the discovery service.
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

// serve serves a listener on a new goroutine, which ends when the server is closed.
func serve(l net.Listener, h http.Handler) *http.Server {
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	go server.Serve(l)
	return server
}

// DiscoveryAddress returns the address of the discovery service.
func (p *Platform) DiscoveryAddress() string { return p.discoveryAddress }

// runClock keeps the model's clock at real time until the context ends.
func (p *Platform) runClock(ctx context.Context) {
	tick := time.NewTicker(clockInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			p.atCurrentTime(func() {})
		}
	}
}

// atCurrentTime advances the model's clock to real time and calls f, holding the lock.
func (p *Platform) atCurrentTime(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.clock.Run(time.Since(p.startedAt))
	f()
}

// Close stops the clock and closes all servers. It does not wait for call-backs in progress.
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

// worker returns the worker with a number.
func (p *Platform) worker(number int) (*worker, error) {
	if number < 0 || number >= len(p.workers) {
		return nil, fmt.Errorf("worker %d does not exist", number)
	}
	return p.workers[number], nil
}

// CrashWorker crashes a worker: its connections are reset and its jobs are lost.
func (p *Platform) CrashWorker(number int) error {
	w, err := p.worker(number)
	if err != nil {
		return err
	}
	w.server.Close()
	p.atCurrentTime(func() {
		w.model.Crash()
		w.lifecycle = deleted
	})
	p.notifyWatches(w)
	return nil
}

// RestartWorker starts a crashed worker again at the same address, in slow start.
func (p *Platform) RestartWorker(number int) error {
	w, err := p.worker(number)
	if err != nil {
		return err
	}
	if err := w.listen(w.address); err != nil {
		return err
	}
	p.atCurrentTime(func() {
		w.model.Restart()
		w.lifecycle, w.startedAtMS = serving, time.Now().UnixMilli()
	})
	p.notifyWatches(w)
	return nil
}
