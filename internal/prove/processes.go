package prove

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"google.golang.org/grpc"

	"moorstack/internal/agreement"
	"moorstack/internal/control"
	"moorstack/internal/keys"
	"moorstack/internal/schema"
)

// ProcessOptions are how real processes are tried.
type ProcessOptions struct {
	Program   string // the program to start
	Dir       string // an empty directory for all of it
	Instances int
	Changes   int
	Kills     int // of the leader, by SIGKILL, at random points
	Seed      uint64
	Platform  []byte // the instances' platform file
	Progress  func(done, kills int)
}

// ProcessResult is what was measured and found.
type ProcessResult struct {
	Instances  int             `json:"instances"`
	Changes    int             `json:"changes"`
	Kills      int             `json:"kills"`
	Repeats    int             `json:"repeats"` // calls that had to be made again under the same id
	Seconds    float64         `json:"seconds"`
	Commit     []time.Duration `json:"commit_ns"`     // of each change whose first call was answered
	Leaderless []time.Duration `json:"leaderless_ns"` // from each kill until another led
	Fsync      []time.Duration `json:"fsync_ns"`      // of a bare append and fsync, between the changes
	Quiet      int             `json:"quiet_changes"`
	QuietSecs  float64         `json:"quiet_seconds"` // of the changes before the first kill
	Violations []string        `json:"violations,omitempty"`
}

// process is an instance's process.
type process struct {
	name, file, socket, peers string
	cmd                       *exec.Cmd
	log                       *os.File
	client                    schema.ControlClient
	end                       func() error
}

type fleet struct {
	o    ProcessOptions
	list []*process
	rng  *rand.Rand
	res  ProcessResult
}

// RunProcesses starts instances, has changes made through all of them while leaders are
// killed, and audits every change at the end.
func RunProcesses(ctx context.Context, o ProcessOptions) (*ProcessResult, error) {
	f := &fleet{o: o, rng: rand.New(rand.NewPCG(o.Seed, 3))}
	f.res.Instances, f.res.Changes = o.Instances, o.Changes
	defer f.end()
	if err := f.prepare(); err != nil {
		return nil, err
	}
	for _, p := range f.list {
		if err := f.start(p); err != nil {
			return nil, err
		}
	}
	if err := f.form(ctx); err != nil {
		return nil, err
	}
	acked, err := f.changes(ctx)
	if err != nil {
		return nil, err
	}
	return &f.res, f.audit(ctx, acked)
}

func freePort() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func (f *fleet) prepare() error {
	ca, err := keys.NewCA("prove", time.Now(), time.Hour)
	if err != nil {
		return err
	}
	k := filepath.Join(f.o.Dir, "keys")
	if err := ca.Write(k, "ca", false); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(f.o.Dir, "platform.json"), f.o.Platform, 0o600); err != nil {
		return err
	}
	for n := range f.o.Instances {
		p := &process{name: fmt.Sprintf("n%d", n+1)}
		pair, err := ca.Issue(p.name, keys.Instance, time.Now(), time.Hour)
		if err != nil {
			return err
		}
		if err := pair.Write(k, p.name, false); err != nil {
			return err
		}
		listen, err := freePort()
		if err != nil {
			return err
		}
		if p.peers, err = freePort(); err != nil {
			return err
		}
		p.file, p.socket = filepath.Join(f.o.Dir, p.name+".toml"), filepath.Join(f.o.Dir, p.name+".sock")
		text := fmt.Sprintf("name = %q\ndata = %q\n[front]\nplatform = \"platform.json\"\nlisten = %q\n"+
			"[peers]\nlisten = %q\ntick = \"50ms\"\n[keys]\nca = \"keys/ca.crt\"\n"+
			"cert = \"keys/%[1]s.crt\"\n"+
			"key = \"keys/%[1]s.key\"\n[control]\nsocket = %[5]q\n",
			p.name, p.name, listen, p.peers, p.name+".sock")
		if err := os.WriteFile(p.file, []byte(text), 0o600); err != nil {
			return err
		}
		if p.log, err = os.Create(filepath.Join(f.o.Dir, p.name+".log")); err != nil {
			return err
		}
		f.list = append(f.list, p)
	}
	return nil
}

func (f *fleet) start(p *process) error {
	p.cmd = exec.Command(f.o.Program, "serve", "--config", p.file)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	// Hazard: were this program killed itself, the instances would go on for ever.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	if p.client == nil {
		var err error
		if p.client, p.end, err = control.Dial(control.Target{Socket: p.socket}); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) end() {
	for _, p := range f.list {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Wait()
		}
		if p.end != nil {
			p.end()
		}
		p.log.Close()
	}
}

// until tries something until it succeeds, for half a minute.
func until(ctx context.Context, what string, try func(context.Context) error) error {
	var err error
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		call, stop := context.WithTimeout(ctx, 5*time.Second)
		err = try(call)
		if stop(); err == nil {
			return nil
		}
	}
	return fmt.Errorf("%s: %w", what, err)
}

func (f *fleet) form(ctx context.Context) error {
	first := f.list[0]
	err := until(ctx, "making a group", func(ctx context.Context) error {
		_, err := first.client.Init(ctx, &schema.InitRequest{}, grpc.WaitForReady(true))
		return err
	})
	if err != nil {
		return err
	}
	for _, p := range f.list[1:] {
		for _, op := range []*schema.Operation{
			{Kind: schema.Operation_ADD, Name: p.name, Address: p.peers},
			{Kind: schema.Operation_PROMOTE, Name: p.name},
		} {
			if err := until(ctx, op.Kind.String()+" "+p.name, func(ctx context.Context) error {
				_, err := first.client.Operate(ctx, op)
				return err
			}); err != nil {
				return err
			}
		}
	}
	return nil
}

// status asks an instance, or gives nil.
func (p *process) status(ctx context.Context) *schema.StatusReply {
	ctx, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	s, err := p.client.Status(ctx, &schema.StatusRequest{})
	if err != nil {
		return nil
	}
	return s
}

// leader is the process that leads in the highest term.
func (f *fleet) leader(ctx context.Context) (*process, uint64) {
	var best *process
	term := uint64(0)
	for _, p := range f.list {
		if s := p.status(ctx); s != nil && s.Role == "leader" && s.Term > term {
			best, term = p, s.Term
		}
	}
	return best, term
}

// changes makes the changes, one after another, each through an instance at random, and
// repeats what has no answer under the same id. Meanwhile leaders are killed.
func (f *fleet) changes(ctx context.Context) (map[string]uint64, error) {
	bare, err := os.Create(filepath.Join(f.o.Dir, "fsync"))
	if err != nil {
		return nil, err
	}
	defer bare.Close()
	killers, stop := context.WithCancel(ctx)
	defer stop()
	killed := make(chan []time.Duration, 1)
	began := time.Now()
	quiet := f.o.Changes / 10
	started := false
	acked := map[string]uint64{}
	for n := range f.o.Changes {
		if n == quiet && f.o.Kills > 0 {
			f.res.Quiet, f.res.QuietSecs = n, time.Since(began).Seconds()
			started = true
			go func() { killed <- f.killLeaders(killers) }()
		}
		if n%10 == 0 {
			at := time.Now()
			if _, err := bare.Write(make([]byte, 512)); err != nil {
				return nil, err
			}
			if err := bare.Sync(); err != nil {
				return nil, err
			}
			f.res.Fsync = append(f.res.Fsync, time.Since(at))
		}
		id := fmt.Sprintf("change-%d", n)
		rev, err := f.change(ctx, id, float64(n+1))
		if err != nil {
			return nil, fmt.Errorf("%s: %w", id, err)
		}
		acked[id] = rev
		if f.o.Progress != nil {
			f.o.Progress(n+1, f.res.Kills)
		}
		if started {
			// The kills must fall among the changes, not after them.
			time.Sleep(time.Duration(f.rng.IntN(160)) * time.Millisecond)
		}
	}
	f.res.Seconds = time.Since(began).Seconds()
	stop()
	if started {
		f.res.Leaderless = <-killed
		f.res.Kills = len(f.res.Leaderless)
	}
	return acked, nil
}

// change makes one change and gives its revision.
func (f *fleet) change(ctx context.Context, id string, worth float64) (uint64, error) {
	var base uint64
	var doc *agreement.Document
	begun := time.Now()
	for try := 0; ; try++ {
		if time.Since(begun) > time.Minute {
			return 0, errors.New("not done in a minute")
		}
		if try > 0 {
			f.res.Repeats++
			time.Sleep(20 * time.Millisecond)
		}
		p := f.list[f.rng.IntN(len(f.list))]
		call, stop := context.WithTimeout(ctx, 5*time.Second)
		if doc == nil {
			rev, err := p.client.GetConfig(call, &schema.GetConfigRequest{})
			if err != nil {
				stop()
				continue
			}
			if doc, err = agreement.Decode(rev.Document); err != nil {
				stop()
				return 0, err
			}
			base = rev.Revision
			doc.Classes[0].Worth = worth
		}
		at := time.Now()
		r, err := p.client.Propose(call, &schema.ProposeRequest{Id: id, Base: base, Document: doc.Encode()})
		stop()
		if err != nil {
			continue
		}
		switch r.Code {
		case schema.ProposeReply_ACCEPTED:
			if try == 0 {
				f.res.Commit = append(f.res.Commit, time.Since(at))
			}
			return r.Revision, nil
		case schema.ProposeReply_NO_LEADER, schema.ProposeReply_UNKNOWN:
		default:
			// There is one client: nothing else may have come first.
			return 0, fmt.Errorf("%v: %v", r.Code, r.Problems)
		}
	}
}

// killLeaders kills a leader, waits until another leads, starts the killed one again, and
// so on.
func (f *fleet) killLeaders(ctx context.Context) []time.Duration {
	rng := rand.New(rand.NewPCG(f.o.Seed, 4))
	var gaps []time.Duration
	for range f.o.Kills {
		select {
		case <-ctx.Done():
			return gaps
		case <-time.After(time.Duration(100+rng.IntN(300)) * time.Millisecond):
		}
		p, term := f.leader(context.Background())
		if p == nil {
			continue
		}
		_ = p.cmd.Process.Kill()
		at := time.Now()
		_ = p.cmd.Wait()
		for time.Since(at) < 30*time.Second {
			if _, now := f.leader(context.Background()); now > term {
				gaps = append(gaps, time.Since(at))
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
		if err := f.start(p); err != nil {
			return gaps
		}
	}
	return gaps
}

// audit looks at every change at every instance.
func (f *fleet) audit(ctx context.Context, acked map[string]uint64) error {
	violate := func(format string, args ...any) {
		f.res.Violations = append(f.res.Violations, fmt.Sprintf(format, args...))
	}
	last := uint64(0)
	for _, rev := range acked {
		last = max(last, rev)
	}
	var first []byte
	for _, p := range f.list {
		if p.status(ctx) == nil {
			if err := f.start(p); err != nil {
				return err
			}
		}
		var h *schema.HistoryReply
		err := until(ctx, "the history at "+p.name, func(ctx context.Context) error {
			if _, err := p.client.GetConfig(ctx, &schema.GetConfigRequest{}); err != nil { // a barrier
				return err
			}
			var err error
			h, err = p.client.History(ctx, &schema.HistoryRequest{})
			return err
		})
		if err != nil {
			return err
		}
		seen := map[string]uint64{}
		var text bytes.Buffer
		for _, r := range h.Revisions {
			if was, ok := seen[r.Id]; ok {
				violate("%s: change %s is revision %d and %d", p.name, r.Id, was, r.Revision)
			}
			seen[r.Id] = r.Revision
			fmt.Fprintln(&text, r.Revision, r.Id, r.AtMs)
		}
		for id, rev := range acked {
			if rev >= h.Oldest && seen[id] != rev {
				violate("%s: change %s was acknowledged as revision %d and is %d", p.name, id, rev, seen[id])
			}
		}
		if newest := h.Revisions[0].Revision; newest != last || uint64(len(acked)) != last-1 {
			violate("%s: revision %d is the newest, %d was acknowledged last, of %d changes",
				p.name, newest, last, len(acked))
		}
		if first == nil {
			first = text.Bytes()
		}
		if !bytes.Equal(first, text.Bytes()) {
			violate("%s has another history than %s", p.name, f.list[0].name)
		}
		// The fronts follow.
		err = until(ctx, "the fronts of "+p.name, func(ctx context.Context) error {
			if s := p.status(ctx); s == nil || s.Running != last {
				return fmt.Errorf("they run %v of %d", s.GetRunning(), last)
			}
			return nil
		})
		if err != nil {
			violate("%v", err)
		}
	}
	slices.Sort(f.res.Violations)
	return nil
}

// Quantile is the smallest of the values that is not less than the given part of them.
func Quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	s := slices.Sorted(slices.Values(values))
	return s[min(int(q*float64(len(s))), len(s)-1)]
}

// SamplePlatform is a small platform file for instances that only agree.
func SamplePlatform() []byte {
	class := func(name, effect string) map[string]any {
		c := map[string]any{"name": name, "credit": 5, "effect": effect, "give_up": 5_000_000_000,
			"slo": 1_000_000_000, "late_share": 0.5}
		if effect == "dedup" {
			c["key_scope"], c["window"] = "cell", 25_000_000_000
		}
		return c
	}
	b, err := json.Marshal(map[string]any{
		"listen": "127.0.0.1:1", "discovery": "127.0.0.1:1",
		"limits": map[string]any{"memory_mb": 64, "sockets": 256},
		"settings": map[string]any{"zones": []string{"z"}, "kinds": []string{"k"}, "fleet_size": 1,
			"classes": []any{class("trip-quote", "retryable"), class("trip-book", "dedup")},
			"tenants": []any{map[string]any{"name": "muscat", "share": 1}},
			"limits":  map[string]any{"try_limit": 5}},
	})
	if err != nil {
		panic(err)
	}
	return b
}
