package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sys/unix"

	"moorstack/internal/verify/emulate"
	"moorstack/internal/verify/emulate/loopback"
	"moorstack/internal/verify/load"
)

// demoSettings are the deployment that the demo's node is told of.
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
		Short: "A real node, ten modelled workers, clients, and two workers that die: in half a minute",
		Long: `demo starts the real node on loopback with ten workers of the model behind sockets, sends
it jobs, kills two workers at a third of the time and brings them back, cold, at two
thirds. It prints a line a second and a table, and leaves nothing behind.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return demo(cmd, length, rate) },
	}
	cmd.Flags().DurationVar(&length, "for", 18*time.Second, "how long jobs are sent")
	cmd.Flags().Float64Var(&rate, "rate", 60, "jobs a second")
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

func demo(cmd *cobra.Command, length time.Duration, rate float64) error {
	out := cmd.OutOrStdout()
	address, err := freeAddress()
	if err != nil {
		return err
	}
	s, err := loopback.Start(loopback.Options{Node: address, Workers: 10, Zone: "ruwi", Kind: "any", Seed: 1,
		Spec: emulate.WorkerSpec{
			Cores:             4,
			Slots:             4,
			QueueCapacity:     32,
			Speed:             1,
			SlowStartWindow:   6 * time.Second,
			SlowStartMinShare: 0.12,
			ReportInterval:    150 * time.Millisecond,
			ReportNoise:       0.05,
		}})
	if err != nil {
		return err
	}
	defer s.Close()
	node, err := startNode(address, s.DiscoveryAddress())
	if err != nil {
		return err
	}
	defer func() {
		_ = node.Process.Signal(syscall.SIGTERM)
		_ = node.Wait()
	}()
	if err := ready(address); err != nil {
		return err
	}
	fmt.Fprintf(out, "a node at %s, ten workers, %.0f jobs a second for %v\n", address, rate, length)
	crash := time.AfterFunc(length/3, func() {
		fmt.Fprintln(out, "two workers die")
		_ = s.CrashWorker(0)
		_ = s.CrashWorker(1)
	})
	back := time.AfterFunc(length*2/3, func() {
		fmt.Fprintln(out, "they are back, cold")
		_ = s.RestartWorker(0)
		_ = s.RestartWorker(1)
	})
	defer crash.Stop()
	defer back.Stop()
	before := [3]int{}
	r, err := load.Run(cmd.Context(), load.Options{Address: address, Rate: rate, Duration: length, Seed: 1,
		Tenants: []string{"muscat", "batinah"}, Classes: []load.Class{
			{Name: "trip-quote", Weight: 2, MeanWork: 0.25, Timeout: 5 * time.Second},
			{Name: "dialysis-book", Weight: 1, MeanWork: 0.8, Timeout: 15 * time.Second,
				HasIdempotencyKey: true}},
		OnProgress: func(r load.Result) {
			now := [3]int{}
			for _, f := range r.Classes {
				now[0] += f.Served
				now[1] += f.Rejected
				now[2] += f.Failed + f.Unanswered
			}
			fmt.Fprintf(
				out,
				"%3.0f s  served %3d  refused %3d  failed %3d\n",
				r.Seconds,
				now[0]-before[0],
				now[1]-before[1],
				now[2]-before[2],
			)
			before = now
		}})
	if err != nil {
		return err
	}
	return printLoad(out, r, "table")
}

// startNode starts the node beside this program, with the demo's deployment.
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
		return nil, fmt.Errorf("the node beside this program can't be started: %w; make build makes it", err)
	}
	return node, ready(address)
}

// ready waits until the node answers.
func ready(address string) error {
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
	return fmt.Errorf("no node is ready at %s", address)
}

func newLoad() *cobra.Command {
	var o load.Options
	var output string
	var size float64
	var class string
	var keyed bool
	var timeout time.Duration
	var find bool
	var bound load.Objective
	cmd := &cobra.Command{
		Use:   "load ADDRESS",
		Short: "Send jobs to a node on loopback at a steady rate, and measure",
		Long: `load sends jobs to the node at ADDRESS, which must be on loopback, at random times with the
given mean rate, whatever the node does. Latency counts from the time at which a job was
meant to be sent. It is bounded in time and number and ends by itself.

With --find-max it looks for the highest rate that the node bears: from --rate on it
doubles, then halves what is left, and runs for --for at each. A rate is borne if 99% of
what is served comes within --p99 and no more than --unkept of the jobs are refused, fail,
are lost or could not be sent in time.`,
		Example: `  moorstack load 127.0.0.1:7070 --class trip-quote --rate 200 --for 30s --size 0.01
  moorstack load 127.0.0.1:7070 --find-max --p99 50ms --rate 100 --for 5s --size 0.001`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o.Address = args[0]
			o.Classes = []load.Class{{Name: class, Weight: 1, MeanWork: size, Timeout: timeout,
				HasIdempotencyKey: keyed}}
			if _, err := unix.IoctlGetTermios(int(os.Stderr.Fd()), unix.TCGETS); err == nil {
				o.OnProgress = func(r load.Result) {
					fmt.Fprintf(os.Stderr, "\r%.0f s, %d sent ", r.Seconds, r.Scheduled-r.NotSent)
				}
				defer fmt.Fprint(os.Stderr, "\r\033[K")
			}
			if find {
				return findMax(cmd, o, bound, output)
			}
			r, err := load.Run(cmd.Context(), o)
			if r == nil {
				return err
			}
			return printLoad(cmd.OutOrStdout(), r, output)
		},
	}
	f := cmd.Flags()
	f.Float64Var(&o.Rate, "rate", 100, "jobs a second")
	f.DurationVar(&o.Duration, "for", 10*time.Second, "how long")
	f.Uint64Var(&o.Seed, "seed", 1, "of the times and sizes")
	f.IntVar(&o.MaxInFlight, "most", 4096,
		"jobs out at once; one that is due beyond it is counted as not sent")
	f.StringSliceVar(&o.Tenants, "tenant", nil, "teams, alike often; none, if not given")
	f.StringVar(&class, "class", "trip-quote", "the jobs' class")
	f.BoolVar(&keyed, "keyed", false, "the class's jobs carry a key")
	f.Float64Var(&size, "size", 0.01, "mean seconds of work, told as the cost hint and in the body")
	f.DurationVar(&timeout, "timeout", 5*time.Second, "how long a client waits")
	f.BoolVar(&find, "find-max", false, "look for the highest rate that the node bears")
	f.DurationVar(&bound.P99, "p99", 50*time.Millisecond, "with --find-max: the bound on latency")
	f.Float64Var(&bound.MaxErrorShare, "unkept", 0.001,
		"with --find-max: the share of jobs that may not be served")
	f.StringVar(&output, "output", "table", "form of the answer: table or json")
	return cmd
}

// findMax prints each rate that is tried, and the highest that was borne.
func findMax(cmd *cobra.Command, o load.Options, b load.Objective, output string) error {
	o.OnProgress = nil
	steps := []load.Step{}
	tw := tabwriter.NewWriter(cmd.OutOrStdout(), 8, 0, 2, ' ', tabwriter.AlignRight)
	if output != "json" {
		fmt.Fprintln(tw, "RATE\tP99 MS\tNOT SERVED %\tBORNE\t")
	}
	rate, err := load.FindMaxRate(cmd.Context(), o, b, 0.05, func(s load.Step) {
		if steps = append(steps, s); output != "json" {
			fmt.Fprintf(tw, "%.0f\t%.1f\t%.2f\t%v\t\n", s.Rate, s.P99, 100*s.ErrorShare, s.Sustained)
			_ = tw.Flush() // a row as soon as it is known; what can't be written now fails at the end
		}
	})
	if err != nil {
		return err
	}
	if output == "json" {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(map[string]any{"rate": rate, "steps": steps})
	}
	_, err = fmt.Fprintf(cmd.OutOrStdout(), "%.0f jobs a second are borne\n", rate)
	return err
}

func printLoad(w io.Writer, r *load.Result, output string) error {
	if output == "json" {
		return json.NewEncoder(w).Encode(r)
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "CLASS\tSERVED\tREFUSED\tFAILED\tLOST\tP50 MS\tP90\tP99\tP99.9\tMAX")
	var names []string
	for name := range r.Classes {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		f := r.Classes[name]
		fmt.Fprintf(
			tw,
			"%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n",
			name,
			f.Served,
			f.Rejected,
			f.Failed,
			f.Unanswered,
			f.Latency["p50"],
			f.Latency["p90"],
			f.Latency["p99"],
			f.Latency["p99.9"],
			f.Latency["max"],
		)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "%d jobs in %.1f s; %d were due and not sent\n", r.Scheduled, r.Seconds,
		r.NotSent)
	return err
}
