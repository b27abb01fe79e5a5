package faultinjection

import (
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"moorstack/internal/cluster/consensus"
	"moorstack/internal/node"
	"moorstack/internal/operate/controlapi"
	"moorstack/internal/schema"
	"moorstack/internal/verify/emulate/loopback"
)

// terminateTimeout is how long a process may take to end after SIGTERM before it is killed.
const terminateTimeout = 30 * time.Second

// maxTornBytes bounds the partial record that a torn write leaves.
const maxTornBytes = 300

// Process is an instance and, while it runs, its operating system process.
type Process struct {
	Name         string
	PeerAddress  string // of the forwarder through which other instances reach it
	FrontAddress string // of the platform front
	Client       schema.ControlClient

	configPath, socketPath string
	log                    *os.File
	journal                *journal
	emulator               *loopback.Platform
	closeClient            func() error

	mu      sync.Mutex
	cmd     *exec.Cmd // nil: no process runs
	stalled bool
	older   bool // it runs the earlier version
}

// interruption records that an instance was killed, stalled or resumed, or its disk filled.
type interruption struct {
	instance string
	at       time.Duration // by CLOCK_BOOTTIME
}

func (c *Cluster) recordInterruption(p *Process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interruptions = append(c.interruptions, interruption{p.Name, consensus.BootTime()})
}

// StartProcess starts an instance's process, unless it already runs.
func (c *Cluster) StartProcess(p *Process) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	program := c.options.Program
	if p.older {
		program = c.options.OlderProgram
	}
	cmd := exec.Command(program, "serve", "--config", p.configPath)
	cmd.Stdout, cmd.Stderr = p.log, p.log
	cmd.Env = append(os.Environ(), node.TestClocksEnv+"=yes")
	// Without this, instances would keep running when this program is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.stalled = cmd, false
	if p.Client == nil {
		var err error
		p.Client, p.closeClient, err = controlapi.Dial(controlapi.Target{Socket: p.socketPath})
		return err
	}
	return nil
}

// SwitchVersion kills an instance and restarts it with the current program or with the older one.
func (c *Cluster) SwitchVersion(p *Process, current bool) error {
	c.Kill(p)
	p.mu.Lock()
	p.older = !current && c.options.OlderProgram != ""
	p.mu.Unlock()
	return c.StartProcess(p)
}

// AllUpgraded reports whether all instances run the current program.
func (c *Cluster) AllUpgraded() bool {
	for _, p := range c.Processes {
		p.mu.Lock()
		older := p.older
		p.mu.Unlock()
		if older {
			return false
		}
	}
	return true
}

// Kill kills an instance's process (SIGKILL), if it runs, and waits for its end.
func (c *Cluster) Kill(p *Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		c.recordInterruption(p)
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		p.cmd = nil
	}
}

// Terminate asks an instance's process to end (SIGTERM) and waits until it has. A process that takes
// longer than terminateTimeout is killed.
func (c *Cluster) Terminate(p *Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	cmd := p.cmd
	if p.stalled {
		_ = cmd.Process.Signal(syscall.SIGCONT)
	}
	_ = cmd.Process.Signal(syscall.SIGTERM)
	slow := time.AfterFunc(terminateTimeout, func() { _ = cmd.Process.Kill() })
	_ = cmd.Wait()
	slow.Stop()
	p.cmd = nil
}

// SetStalled stops a process (SIGSTOP) or resumes it (SIGCONT).
func (c *Cluster) SetStalled(p *Process, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.stalled == on {
		return
	}
	sig := syscall.SIGCONT
	if on {
		sig = syscall.SIGSTOP
	}
	c.recordInterruption(p)
	_ = p.cmd.Process.Signal(sig)
	p.stalled = on
}

// Running reports whether an instance's process runs and is not stalled.
func (p *Process) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil && !p.stalled
}

// FillDisk makes every write of a process that would extend a file fail, as on a full disk.
func (c *Cluster) FillDisk(p *Process) error {
	c.recordInterruption(p)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	none := unix.Rlimit{Cur: 0, Max: unix.RLIM_INFINITY}
	return unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &none, nil)
}

// TearLog appends a partial record to the log of an instance that does not run, as a machine that
// fails during a write leaves it.
func (c *Cluster) TearLog(p *Process, rng *rand.Rand) error {
	logs, err := filepath.Glob(filepath.Join(c.options.Dir, p.Name, "agreement", "*.log"))
	if err != nil || len(logs) == 0 {
		return err // nil error: the instance has not written a log yet
	}
	log, err := os.OpenFile(slices.Max(logs), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	defer log.Close()
	part := make([]byte, 1+rng.IntN(maxTornBytes))
	for i := range part {
		part[i] = byte(rng.Uint32())
	}
	if rng.IntN(4) == 0 {
		clear(part) // the file size reached the disk, and the data did not
	}
	_, err = log.Write(part)
	return err
}
