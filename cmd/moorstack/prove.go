package main

import (
	"bufio"
	"errors"
	"fmt"
	"maps"
	"os"
	"runtime"
	"slices"
	"time"

	"github.com/spf13/cobra"
	"golang.org/x/sys/unix"

	"moorstack/internal/verify/simulation"
)

func newProve(g *global) *cobra.Command {
	cmd := &cobra.Command{Use: "prove", Short: "Try to break what the program promises"}
	cmd.AddCommand(newProveConfig(g), newProveCluster(g))
	return cmd
}

type proveFlags struct {
	seeds     int
	first     uint64
	seed      int64
	trace     bool
	instances []int
	broken    bool
	processes bool
	changes   int
	keep      string
}

func newProveConfig(g *global) *cobra.Command {
	var f proveFlags
	cmd := &cobra.Command{
		Use:   "config",
		Short: "Try to break the agreement on configuration",
		Long: `config plays stories: each is a group of instances in virtual time, with clients
that read and change the configuration, on a network that loses, delays, repeats and
reorders and is cut, also one way, and on disks that lose what was not synced and fill
up. Machines die at any point of a change; members are removed, wiped and replaced.

At each step it checks that a term has one leader, that instances agree on every state
they have in common, that no change is applied twice and revisions only grow; at the
end, that nothing acknowledged is lost, that all are equal and go on, and that what
clients saw can be put in one order (porcupine). A seed is a whole story and the same
each time.

With --processes it plays the story of "prove cluster" in which whoever leads dies by SIGKILL,
again and again, while --changes changes are made at three real instances.

It exits with 1 if anything was broken.`,
		Example: `  moorstack prove config --seeds 1000
  moorstack prove config --seed 42 --trace
  moorstack prove config --seeds 40 --broken     # a build that must be found
  moorstack prove config --processes --changes 300`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if f.processes {
				return proveCluster(cmd, g, &clusterFlags{processes: 3, length: 10 * time.Minute, kills: true,
					tick: 50 * time.Millisecond, seed: max(f.first, uint64(max(f.seed, 0))),
					changes: f.changes,
					keep:    f.keep, rate: 20})
			}
			return proveStories(cmd, g, &f)
		},
	}
	fl := cmd.Flags()
	fl.IntVar(&f.seeds, "seeds", 100, "how many stories of each size")
	fl.Uint64Var(&f.first, "first", 0, "the first seed")
	fl.Int64Var(&f.seed, "seed", -1, "play the story of this seed alone")
	fl.BoolVar(&f.trace, "trace", false, "with --seed: print each event")
	fl.IntSliceVar(&f.instances, "instances", []int{3, 5}, "sizes of groups")
	fl.BoolVar(
		&f.broken,
		"broken",
		false,
		"play a build that acknowledges before it syncs: the checks must find it",
	)
	fl.BoolVar(&f.processes, "processes", false, "real processes in place of virtual time")
	fl.IntVar(&f.changes, "changes", 300, "with --processes: how many changes")
	fl.StringVar(&f.keep, "keep", "", "with --processes: keep directories and logs in this `directory`")
	addOutput(cmd, g)
	return cmd
}

// terminal says whether a file is one: progress is shown to people only.
func terminal(f *os.File) bool {
	_, err := unix.IoctlGetTermios(int(f.Fd()), unix.TCGETS)
	return err == nil
}

// totals sums the stories of one size.
type totals struct {
	Instances  int                 `json:"instances"`
	Stories    int                 `json:"stories"`
	Events     int                 `json:"events"`
	Ticks      int64               `json:"ticks"`
	Accepted   int                 `json:"accepted"`
	Refused    int                 `json:"refused"`
	Unknown    int                 `json:"unknown"`
	Reads      int                 `json:"reads"`
	Admitted   int                 `json:"admitted"` // jobs
	Acts       int                 `json:"acts"`     // of holders of duties
	Handed     int                 `json:"hand_overs"`
	Faults     map[string]int      `json:"faults"`
	Broken     []simulation.Result `json:"broken,omitempty"`
	WallSecond float64             `json:"wall_s"`
}

func proveStories(cmd *cobra.Command, g *global, f *proveFlags) error {
	if f.trace && f.seed < 0 {
		return errors.New("--trace goes with --seed")
	}
	first, count := f.first, f.seeds
	if f.seed >= 0 {
		first, count = uint64(f.seed), 1
	}
	out := bufio.NewWriter(cmd.OutOrStdout())
	defer out.Flush()
	var all []*totals
	broken := 0
	for _, n := range f.instances {
		if n < 3 || n > 9 {
			return fmt.Errorf("--instances: %d is not from 3 to 9", n)
		}
		t := &totals{Instances: n, Faults: map[string]int{}}
		began := time.Now()
		options := func(seed uint64) simulation.Options {
			o := simulation.Options{Instances: n, Seed: seed, AcknowledgeBeforeSync: f.broken}
			if f.trace {
				o.Trace = out
			}
			return o
		}
		simulation.RunSeeds(first, count, runtime.NumCPU(), options, func(r simulation.Result) {
			t.add(r)
			if terminal(os.Stderr) {
				fmt.Fprintf(
					os.Stderr,
					"\r%d instances: %d of %d stories, %d broken ",
					n,
					t.Stories,
					count,
					len(t.Broken),
				)
			}
		})
		if terminal(os.Stderr) {
			fmt.Fprint(os.Stderr, "\r\033[K")
		}
		t.WallSecond = time.Since(began).Seconds()
		all = append(all, t)
		broken += len(t.Broken)
	}
	if err := g.print(out, all, storiesTable(all)); err != nil {
		return err
	}
	if broken > 0 {
		return exitError{
			exitFailed,
			fmt.Errorf("%d stories are broken; play one again with --seed N --trace", broken),
		}
	}
	return nil
}

func (t *totals) add(r simulation.Result) {
	t.Stories++
	t.Events += r.Events
	t.Ticks += r.Ticks
	t.Accepted += r.ChangesAccepted
	t.Refused += r.ChangesRejected
	t.Unknown += r.ChangesUnknown
	t.Reads += r.Reads
	t.Admitted += r.JobsAdmitted
	t.Acts += r.TaskActions
	t.Handed += r.TaskTransfers
	for name, n := range r.Faults {
		t.Faults[name] += n
	}
	if len(r.Violations) > 0 {
		t.Broken = append(t.Broken, r)
	}
}

func storiesTable(all []*totals) table {
	t := table{
		head: []string{"INSTANCES", "STORIES", "BROKEN", "EVENTS", "TICKS", "ACCEPTED", "REFUSED", "UNKNOWN",
			"READS", "FAULTS", "SECONDS"},
	}
	faults := map[string]int{}
	for _, s := range all {
		n := 0
		for name, k := range s.Faults {
			n += k
			faults[name] += k
		}
		t.add(
			s.Instances,
			s.Stories,
			len(s.Broken),
			s.Events,
			s.Ticks,
			s.Accepted,
			s.Refused,
			s.Unknown,
			s.Reads,
			n,
			fmt.Sprintf("%.1f", s.WallSecond),
		)
	}
	t.add("")
	for _, name := range slices.Sorted(maps.Keys(faults)) {
		t.add("", name, faults[name])
	}
	for _, s := range all {
		for _, r := range s.Broken {
			t.add("")
			t.add(fmt.Sprintf("seed %d, %d instances: %s", r.Seed, r.Instances, r.Violations[0]))
		}
	}
	return t
}
