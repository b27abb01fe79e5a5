package main

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"moorstack/internal/verify/emulate"
	"moorstack/internal/verify/emulate/loopback"
	"moorstack/internal/verify/load"
)

// demoSettings are the deployment's settings for the demo's node.
const demoSettings = `{"az":0,"me":0,"fleet_size":1,"granularity":5000000,` +
	`"worth_by":"work","kinds":["any"],` +
	`"zones":["ruwi"],"membership_mode":"on_request","classes":[` +
	`{"name":"trip-quote","credit":5,"effect":"retryable","give_up":5000000000,"late_share":0.5,` +
	`"slo":250000000,"aim_stretch":1.75},` +
	`{"name":"dialysis-book","credit":15,"effect":"dedup","key_scope":"cell","window":25000000000,` +
	`"give_up":15000000000,"late_share":0.3,"slo":750000000,"aim_stretch":1.75}],` +
	`"tenants":[{"name":"muscat","share":0.6},{"name":"batinah","share":0.4}],"blend":{"whole":1},` +
	`"contract":{"answer_slack":20000000,"ask_every":10000000000,"cold":20000000000,"cold_share":0.12,` +
	`"drain_grace":1000000000,"fall":1000000000,"overload_factor":3},"extra":{"report_x0":"free slots"},` +
	`"limits":{"cancel":true,"conn_idle":15000000000,"connect_timeout":250000000,` +
	`"max_retry_after":2000000000,` +
	`"probes":true,"retry_after":true,"second_copies":true,"try_limit":5},` +
	`"report":{"how":"pull","names":["pending","x0"]}}`

func newDemo() *cobra.Command {
	var length time.Duration
	var rate float64
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a real node with ten modelled workers, clients and two crashes, in half a minute",
		Long: `demo starts a real node on loopback with ten modelled workers behind sockets, and sends it
jobs. After one third of the time two workers crash; after two thirds they are back, cold.
It prints a line every second and a table at the end, and leaves nothing behind.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runDemo(cmd, length, rate) },
	}
	cmd.Flags().DurationVar(&length, "for", 18*time.Second, "for how long jobs are sent")
	cmd.Flags().Float64Var(&rate, "rate", 60, "jobs per second")
	return cmd
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// demoWorker is the model of each of the demo's workers.
var demoWorker = emulate.WorkerSpec{
	Cores:             4,
	Slots:             4,
	QueueCapacity:     32,
	Speed:             1,
	SlowStartWindow:   6 * time.Second,
	SlowStartMinShare: 0.12,
	ReportInterval:    150 * time.Millisecond,
	ReportNoise:       0.05,
}

func runDemo(cmd *cobra.Command, length time.Duration, rate float64) error {
	out := cmd.OutOrStdout()
	address, err := freeAddress()
	if err != nil {
		return err
	}
	workers, err := loopback.Start(loopback.Options{Node: address, Workers: 10, Zone: "ruwi", Kind: "any",
		Seed: 1, Spec: demoWorker})
	if err != nil {
		return err
	}
	defer workers.Close()
	node, err := startNode(address, workers.DiscoveryAddress())
	if err != nil {
		return err
	}
	defer func() {
		_ = node.Process.Signal(syscall.SIGTERM)
		_ = node.Wait()
	}()
	if err := waitReady(address); err != nil {
		return err
	}
	fmt.Fprintf(out, "node at %s, ten workers, %.0f jobs per second for %v\n", address, rate, length)
	crash := time.AfterFunc(length/3, func() {
		fmt.Fprintln(out, "two workers crash")
		_ = workers.CrashWorker(0)
		_ = workers.CrashWorker(1)
	})
	back := time.AfterFunc(length*2/3, func() {
		fmt.Fprintln(out, "the two workers are back, cold")
		_ = workers.RestartWorker(0)
		_ = workers.RestartWorker(1)
	})
	defer crash.Stop()
	defer back.Stop()
	r, err := load.Run(cmd.Context(), load.Options{Address: address, Rate: rate, Duration: length, Seed: 1,
		Tenants: []string{"muscat", "batinah"}, Classes: []load.Class{
			{Name: "trip-quote", Weight: 2, MeanWork: 0.25, Timeout: 5 * time.Second},
			{Name: "dialysis-book", Weight: 1, MeanWork: 0.8, Timeout: 15 * time.Second,
				HasIdempotencyKey: true}},
		OnProgress: progressPrinter(out)})
	if err != nil {
		return err
	}
	return printLoad(out, r, "table")
}

// progressPrinter returns a function that prints the outcomes of the jobs since its previous call.
func progressPrinter(out io.Writer) func(load.Result) {
	type counts struct{ served, refused, failed int }
	before := counts{}
	return func(r load.Result) {
		now := counts{}
		for _, f := range r.Classes {
			now.served += f.Served
			now.refused += f.Rejected
			now.failed += f.Failed + f.Unanswered
		}
		fmt.Fprintf(out, "%3.0f s  served %3d  refused %3d  failed %3d\n", r.Seconds,
			now.served-before.served, now.refused-before.refused, now.failed-before.failed)
		before = now
	}
}

// startNode starts the program moorstack, next to this one, as a node with the demo's settings.
func startNode(address, discovery string) (*exec.Cmd, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	config, err := os.CreateTemp("", "moorstack-demo-*.json")
	if err != nil {
		return nil, err
	}
	defer os.Remove(config.Name())
	_, err = fmt.Fprintf(config, `{"name":"demo","listen":%q,"discovery":%q,"seed":"1","limits":{"cores":1,`+
		`"memory_mb":64,"sockets":1024},"known":{"generation":0,"reset":true,"instances":[]},"settings":%s}`,
		address, discovery, demoSettings)
	if err != nil {
		return nil, err
	}
	if err := config.Close(); err != nil {
		return nil, err
	}
	node := exec.Command(filepath.Join(filepath.Dir(self), "moorstack"), "--log-level", "error")
	node.Env = append(os.Environ(), "BALANCER_CONFIG="+config.Name())
	for _, name := range []string{"BALANCER_NAME", "BALANCER_LISTEN", "BALANCER_DISCOVERY"} {
		node.Env = append(node.Env, name+"=")
	}
	node.Stderr = os.Stderr
	if err := node.Start(); err != nil {
		return nil, fmt.Errorf("starting the node next to this program: %w; \"make build\" builds it", err)
	}
	return node, waitReady(address)
}

// waitReady waits up to ten seconds until the node answers a health check.
func waitReady(address string) error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		c, err := net.Dial("tcp", address)
		if err != nil {
			continue
		}
		_ = c.SetDeadline(time.Now().Add(time.Second))
		fmt.Fprintf(c, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
		b := make([]byte, 12)
		_, err = io.ReadFull(c, b)
		c.Close()
		if err == nil && string(b) == "HTTP/1.1 200" {
			return nil
		}
	}
	return fmt.Errorf("the node at %s was not ready within 10s", address)
}
