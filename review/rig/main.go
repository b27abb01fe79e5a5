// Rig runs the cases of the review: it starts the project's own program as separate processes, and stands in
// for its clients, workers and discovery on loopback. It exits with 1 if the rule was broken, with 0 if it
// held, and with 2 if the case couldn't run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2

	// longestRun is the time after which a case ends whatever it does.
	longestRun = 115 * time.Second
)

// rig is one run of a case.
type rig struct {
	program string // the deploy file's run command
	trouble bool
	control bool   // only for a look at the cause
	dir     string // a temporary folder
	started time.Time

	mu        sync.Mutex
	record    *os.File
	processes []*exec.Cmd
	broken    int
}

// cases are the cases by name.
var cases = map[string]func(*rig){
	"drain":   runDrain,
	"serve":   runServe,
	"trigger": runTrigger,
	"upgrade": runUpgrade,
	"window":  runWindow,
}

func main() {
	name := flag.String("case", "", "the case to run")
	program := flag.String("program", "", "the run command of the deploy file")
	file := flag.String("record", "", "the file that gets the record")
	trouble := flag.Bool("trouble", true, "play the disruption")
	control := flag.Bool("control", false, "the drain case without the Faktory load")
	flag.Parse()
	run := cases[*name]
	if run == nil || *program == "" || *file == "" {
		flag.Usage()
		os.Exit(exitCannotRun)
	}
	r := &rig{program: *program, trouble: *trouble, control: *control, started: time.Now()}
	var err error
	if r.record, err = os.Create(*file); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}
	if r.dir, err = os.MkdirTemp("", "review"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannotRun)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(longestRun):
		}
		r.cannotRun("the run was ended from outside or took too long")
	}()
	r.log("case %s, disruption: %v", *name, *trouble)
	run(r)
	r.finish()
}

// log writes a line to the record, with the time since the start.
func (r *rig) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logLocked(format, args...)
}

func (r *rig) logLocked(format string, args ...any) {
	fmt.Fprintf(r.record, "%9.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
}

// breaks records that the rule was broken.
func (r *rig) breaks(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken++
	r.logLocked("BROKEN: "+format, args...)
}

// finish ends all processes and exits with the verdict.
func (r *rig) finish() {
	r.mu.Lock()
	code := exitHeld
	if r.broken > 0 {
		code = exitBroken
	}
	r.logLocked("verdict: %d times broken", r.broken)
	fmt.Printf("%d times broken\n", r.broken)
	r.cleanUp()
	os.Exit(code)
}

// cannotRun ends all processes and exits: the case has no verdict.
func (r *rig) cannotRun(format string, args ...any) {
	r.mu.Lock()
	r.logLocked("cannot run: "+format, args...)
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	r.cleanUp()
	os.Exit(exitCannotRun)
}

// cleanUp kills the processes that were started, waits for their ends and removes the temporary folder. The
// caller holds the lock and exits.
func (r *rig) cleanUp() {
	for _, p := range r.processes {
		_ = p.Process.Kill()
	}
	for _, p := range r.processes {
		_ = p.Wait() // fails at once if another goroutine waits for it
		for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			if syscall.Kill(p.Process.Pid, 0) != nil {
				break // it has ended and was waited for
			}
		}
	}
	_ = os.RemoveAll(r.dir)
	_ = r.record.Close()
}

// start starts a command of the program in the temporary folder; its log goes to a file there.
func (r *rig) start(logName, arguments string, environment ...string) *exec.Cmd {
	cmd := exec.Command("/bin/sh", "-c", r.program+" "+arguments)
	cmd.Env = append(os.Environ(), environment...)
	log, err := os.Create(r.dir + "/" + logName)
	if err != nil {
		r.cannotRun("%v", err)
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := cmd.Start(); err != nil {
		r.mu.Unlock()
		r.cannotRun("%v", err)
	}
	r.processes = append(r.processes, cmd)
	r.logLocked("started %s %s, process %d", r.program, arguments, cmd.Process.Pid)
	return cmd
}

// command runs a command of the program to its end and returns its output.
func (r *rig) command(arguments string) (string, error) {
	cmd := exec.Command("/bin/sh", "-c", r.program+" "+arguments)
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// must repeats a command until it succeeds, for 20 s at most.
func (r *rig) must(arguments string) string {
	var out string
	var err error
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if out, err = r.command(arguments); err == nil {
			r.log("command %s", arguments)
			return out
		}
	}
	r.cannotRun("%s: %v: %s", arguments, err, out)
	return ""
}

// logOf returns the log of a process.
func (r *rig) logOf(name string) string {
	b, err := os.ReadFile(r.dir + "/" + name)
	if err != nil {
		return err.Error()
	}
	return string(b)
}
