// Moorstack is a broker's node: it takes jobs from clients and hands them to
// workers. What goes where is package brain's to decide.
package main

import (
	"flag"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"moorstack/brain"
	"moorstack/internal/core"
	"moorstack/internal/faktory"
	"moorstack/internal/net"
	"moorstack/internal/platform"
)

// clock is the loop's clock as the core takes it.
type clock struct{ *net.Loop }

func (c clock) At(at time.Duration, f func()) core.Timer { return c.Loop.At(at, f) }

var faktoryFile = flag.String("faktory", "", "serve the Faktory work protocol too, as this `file` says")

func main() {
	flag.Parse()
	log := logrus.New()
	log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	if err := run(log); err != nil {
		log.WithError(err).Fatal("the node can't go on")
	}
}

func run(log *logrus.Logger) error {
	// Hazard: a signal that nobody waits for yet ends the process. They wait here until
	// the node can act on them.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	cfg, err := platform.ReadConfig()
	if err != nil {
		return err
	}
	// One goroutine does all the work. The collector works harder before the
	// memory limit, beyond which the node is killed, is near.
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(cfg.Limits.MemoryMB << 20 * 6 / 10)

	set, err := cfg.Settings.Brain()
	if err != nil {
		return err
	}
	loop, err := net.New()
	if err != nil {
		return err
	}
	entry := log.WithField("node", cfg.Name)
	var second *faktory.Config
	if *faktoryFile != "" {
		if second, err = faktory.ReadConfig(*faktoryFile); err != nil {
			return err
		}
		// Its file may allow more than this node has.
		second.Connections = min(second.Connections, cfg.Limits.Sockets/4)
		second.Bytes = min(second.Bytes, int(cfg.Limits.MemoryMB<<20/4))
		cfg.Limits.Others = second.Connections
	}
	front := platform.New(loop, cfg, entry)
	c, err := core.New(set, cfg.SeedNumber(), clock{loop}, front.Directory(), entry)
	if err != nil {
		return err
	}
	if err := front.Open(c); err != nil {
		return err
	}
	drain := front.Drain
	if second != nil {
		other, err := openFaktory(second, loop, set, cfg.SeedNumber(), entry)
		if err != nil {
			return err
		}
		drain = func(done func()) { other.Drain(func() { front.Drain(done) }) }
	}
	go func() {
		for sig := range signals {
			loop.Post(func() {
				if sig == syscall.SIGHUP {
					front.Reload()
					return
				}
				entry.Info("asked to end")
				drain(loop.Stop)
			})
		}
	}()
	entry.WithField("listen", cfg.Listen).Info("serving")
	return loop.Run()
}

// openFaktory opens the second front. It has a route set of its own, and so a core
// of its own: jobs of the one protocol can't be worked on in the other.
func openFaktory(cfg *faktory.Config, loop *net.Loop, set brain.Settings, seed uint64,
	log logrus.FieldLogger) (*faktory.Front, error) {
	set = faktory.Settings(set)
	log = log.WithField("front", "faktory")
	front, err := faktory.New(loop, cfg, set, log)
	if err != nil {
		return nil, err
	}
	c, err := core.New(set, seed, clock{loop}, nil, log)
	if err != nil {
		return nil, err
	}
	if err := front.Open(c); err != nil {
		return nil, err
	}
	log.WithField("listen", cfg.Listen).Info("serving")
	return front, nil
}
