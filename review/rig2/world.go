package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is one run of a case: its record, its temporary folder and the processes that it has started.
type world struct {
	trouble bool
	dir     string
	run     string // the deploy file's command for a node

	mu        sync.Mutex
	started   time.Time
	record    *bufio.Writer
	file      *os.File
	processes []*process
}

func newWorld(record string, trouble bool) (*world, error) {
	run, err := deployCommand("run")
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{trouble: trouble, dir: dir, run: run, started: time.Now(), record: bufio.NewWriter(f), file: f}
	w.logf("run: trouble=%v", trouble)
	return w, nil
}

// deployCommand reads a command from the deploy file.
func deployCommand(name string) (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, name+" = \""); ok {
			command, _, _ := strings.Cut(rest, "\"")
			return command, nil
		}
	}
	return "", fmt.Errorf("the deploy file has no command %q", name)
}

// now is the time since the start of the run.
func (w *world) now() time.Duration { return time.Since(w.started) }

// logf writes a line with the time to the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.record != nil {
		fmt.Fprintf(w.record, "%9.3f %s\n", w.now().Seconds(), fmt.Sprintf(format, args...))
	}
}

// conclude writes the verdict and returns the exit code.
func (w *world) conclude(v verdict) int {
	code := exitHeld
	switch {
	case v.notRun != "":
		w.logf("NOT RUN: %s", v.notRun)
		code = exitNotRun
	case len(v.breaks) > 0:
		for n, b := range v.breaks {
			if n < 20 {
				w.logf("BROKEN: %s", b)
			}
		}
		w.logf("BROKEN: %d in all", len(v.breaks))
		code = exitBroken
	default:
		w.logf("HELD")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.Flush()
	w.file.Close()
	w.record = nil
	return code
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	w.mu.Lock()
	list := w.processes
	w.mu.Unlock()
	for _, p := range list {
		p.kill()
	}
	os.RemoveAll(w.dir)
}

// process is a process of the project's programs.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
}

// spawn starts a shell command from the repository's root, with its output in a file of the temporary folder.
func (w *world) spawn(name, command string, env ...string) (*process, error) {
	out, err := os.OpenFile(filepath.Join(w.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer out.Close()
	cmd := exec.Command("/bin/sh", "-c", command)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = append(os.Environ(), env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, exited: make(chan struct{})}
	go func() {
		err := cmd.Wait()
		w.logf("process %s has ended: %v", name, err)
		close(p.exited)
	}()
	w.mu.Lock()
	w.processes = append(w.processes, p)
	w.mu.Unlock()
	w.logf("process %s started", name)
	return p, nil
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// freeAddress returns a loopback address that nobody listens at.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// eventually waits until ok returns true.
func eventually(limit time.Duration, ok func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return errors.New("waited too long")
}

// nodeConfig writes a node's configuration file and returns its path.
func (w *world) nodeConfig(name string, index, nodes int, listen, discovery string) (string, error) {
	return w.nodeConfigWith(name, listen, discovery, index, settings(index, nodes))
}

// nodeConfigWith is nodeConfig with other settings than those of the site.
func (w *world) nodeConfigWith(name, listen, discovery string, index int, set map[string]any) (string, error) {
	cfg := map[string]any{
		"name": name, "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("8c1f30d27a5be9%02x", index),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":    map[string]any{"generation": 0, "reset": true, "instances": []any{}},
		"settings": set,
	}
	text, err := json.MarshalIndent(cfg, "", " ")
	if err != nil {
		return "", err
	}
	path := filepath.Join(w.dir, name+".json")
	return path, os.WriteFile(path, text, 0o600)
}

// settings returns the settings of a small deployment of the site muscat-trips.
func settings(index, nodes int) map[string]any {
	s := func(seconds float64) int64 { return int64(seconds * 1e9) }
	class := func(name, effect, scope string, credit, giveUp, window, slo float64) map[string]any {
		return map[string]any{"name": name, "credit": credit, "effect": effect, "key_scope": scope,
			"give_up": s(giveUp), "window": s(window), "slo": s(slo), "late_share": 0.3, "stream": false}
	}
	return map[string]any{
		"az": 0, "me": index, "fleet_size": nodes, "granularity": 5000000, "worth_by": "work",
		"kind_of_service": "jobs", "membership_mode": "on_request", "over_share_worth": 0.1,
		"blend": map[string]any{"whole": 0.6, "worst_class": 0.2, "worst_tenant": 0.1, "worst_window": 0.1},
		"classes": []any{
			class("trip-quote", "retryable", "all", 5, 5, 5, 0.25),
			class("trip-book", "dedup", "cell", 5, 15, 25, 1),
			class("dialysis-book", "dedup", "cell", 15, 15, 25, 0.75),
		},
		"clients": map[string]any{"marks_retry": false},
		"contract": map[string]any{"answer_slack": 20000000, "ask_every": s(10), "cold": s(24),
			"cold_share": 0.12, "drain_grace": s(1), "fall": s(1), "overload_factor": 3.0},
		"extra": map[string]any{"class_kind": []int{-1, -1, -1}, "class_priority": []int{0, 0, 1},
			"class_stretch": []float64{1.75, 2, 1.75}, "progress": 0, "queue_order": "fifo",
			"report_x0": "free slots", "report_x1": "free memory", "tells_start": false},
		"kinds": []string{"fast-six", "eight-core", "slow-six"}, "zones": []string{"ruwi", "seeb"},
		"limits": map[string]any{"cancel": true, "conn_idle": s(15), "connect_timeout": s(0.25),
			"cpu_us_per_request": 0, "cpu_us_per_s": 15000, "max_retry_after": s(2), "open_cap": 20000,
			"peers": false, "probes": true, "retry_after": true, "second_copies": true,
			"streams_per_conn": 1, "try_limit": 5},
		"prices": map[string]any{"cross_zone": 0.02, "late_fail": 0.03, "membership_mode": 0.02,
			"probe": 0.002, "waste": 0.3},
		"report":  map[string]any{"how": "pull", "names": []string{"pending", "served_ps", "svc_ms", "x0"}},
		"tenants": []any{map[string]any{"name": "muscat", "share": 1.0, "allowance_per_s": 100}},
		"tier":    0, "tiers": []string{"trip-workers"}, "weights": "nominal",
	}
}
