package faultinjection

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Fault is a line of a fault schedule: the time, the kind of fault and its targets.
type Fault struct {
	At             time.Duration // since the run's start
	Step           Step          // from At on, the fault waits for this step; empty: it is injected at At
	StepInstance   string        // the instance that reaches the step; empty: any
	Kind           FaultKind
	Targets        []string      // instances or Target constants, in the order of the kind's arguments
	Duration       time.Duration // of a stall, delay or full disk; until a restart; a clock's offset
	BytesPerSecond int
	Line           int // number in the file; 0: the fault was drawn
}

// FaultKind names a kind of fault in a schedule.
type FaultKind string

// The kinds of faults.
const (
	faultCut          FaultKind = "cut"
	faultIsolate      FaultKind = "isolate"
	faultDeaf         FaultKind = "deaf"
	faultMute         FaultKind = "mute"
	faultRefuse       FaultKind = "refuse"
	faultReset        FaultKind = "reset"
	faultHalfOpen     FaultKind = "half-open"
	faultDelay        FaultKind = "delay"
	faultSlow         FaultKind = "slow"
	faultHeal         FaultKind = "heal"
	faultStall        FaultKind = "stall"
	faultKill         FaultKind = "kill"
	faultRestart      FaultKind = "restart"
	faultStart        FaultKind = "start"
	faultFullDisk     FaultKind = "full"
	faultTornWrite    FaultKind = "torn"
	faultUpgrade      FaultKind = "renew"
	faultRollBack     FaultKind = "roll-back"
	faultTerminate    FaultKind = "leave"
	faultClockAhead   FaultKind = "ahead"
	faultClockBehind  FaultKind = "behind"
	faultClockCorrect FaultKind = "true"
	faultTransfer     FaultKind = "hand-on"
)

// faultSyntax describes the arguments that follow the kind of a fault on its line.
type faultSyntax struct {
	targets  int // number of instances
	duration bool
	rate     bool // bytes per second
	help     string
}

func (s faultSyntax) arguments() int {
	n := s.targets
	if s.duration || s.rate {
		n++
	}
	return n
}

var faultKinds = map[FaultKind]faultSyntax{
	faultCut:      {targets: 2, help: "nothing gets through from the first to the second"},
	faultIsolate:  {targets: 1, help: "nothing gets through to or from it"},
	faultDeaf:     {targets: 1, help: "nothing gets through to it"},
	faultMute:     {targets: 1, help: "nothing gets through from it"},
	faultRefuse:   {targets: 2, help: "the first's new connections to the second are refused"},
	faultReset:    {targets: 2, help: "the connections between the two are reset"},
	faultHalfOpen: {targets: 2, help: "nothing gets through on open connections of the two; new ones work"},
	faultDelay: {targets: 2, duration: true,
		help: "data from the first to the second is delayed by TIME to twice TIME"},
	faultSlow: {targets: 2, rate: true,
		help: "at most BYTES per second get through from the first to the second"},
	faultHeal:  {help: "all faults of links end"},
	faultStall: {targets: 1, duration: true, help: "the process is stopped (SIGSTOP) for TIME"},
	faultKill:  {targets: 1, help: "the process is killed (SIGKILL)"},
	faultRestart: {targets: 1, duration: true,
		help: "the process is killed (SIGKILL) and started again after TIME"},
	faultStart: {targets: 1, help: "it is started again, with the data in its directory"},
	faultFullDisk: {targets: 1, duration: true,
		help: "its disk is full for TIME; then there is room, and it is killed and started again"},
	faultUpgrade:  {targets: 1, help: "it is killed and started with the current program (see --older)"},
	faultRollBack: {targets: 1, help: "it is killed and started with the earlier program (see --older)"},
	faultTerminate: {targets: 1, duration: true,
		help: "it is asked to end (SIGTERM), and started again TIME after it has ended"},
	faultClockAhead: {targets: 1, duration: true,
		help: "its wall clock is set TIME ahead of the true time"},
	faultClockBehind: {targets: 1, duration: true,
		help: "its wall clock is set TIME behind the true time"},
	faultClockCorrect: {targets: 1, help: "its wall clock is set to the true time"},
	faultTransfer: {targets: 1,
		help: "an operator asks it to have the first duty transferred to it"},
	faultTornWrite: {targets: 1, duration: true,
		help: "it is killed during a write, a part of which reaches its disk; started after TIME"},
}

// Names that a schedule may use as a target for an instance that is determined when the fault is injected.
const (
	TargetLeader            = "leader"    // the leader of the highest term
	TargetStepInstance      = "it"        // the instance that reached the step that the fault waited for
	TargetProposer          = "asked"     // the instance that the client last sent a proposal to
	TargetRestartController = "conductor" // the holder of the lease of the rolling restart's controller
)

// Step names, in a schedule, a step of a change, of the work in a leased task or of a rolling
// restart. A fault may wait for it.
type Step string

// The steps that a fault may wait for.
const (
	stepTaskHeld        Step = "holds"
	stepTaskActed       Step = "acts"
	stepTaskReleased    Step = "gives"
	stepRestarting      Step = "out"
	stepProposed        Step = "proposed"
	stepStaged          Step = "staged"
	stepAdmissionClosed Step = "ceased"
	stepSwitched        Step = "switched"
)

// steps maps each step to the event that an instance writes to its audit journal when it reaches the step.
var steps = map[Step]struct{ event, help string }{
	stepTaskHeld:        {"hold", "it has learned that it holds a duty, and starts to act in it"},
	stepTaskActed:       {"act", "it has just acted in a duty"},
	stepTaskReleased:    {"leave", "it has stopped acting in a duty, and releases it"},
	stepRestarting:      {"out", "it has learned that a rolling restart restarts it (see --rolls)"},
	stepProposed:        {"staging", "it has learned of a change"},
	stepStaged:          {"staged", "it is ready to switch to the change, and reports so"},
	stepAdmissionClosed: {"permit", "it has stopped admitting jobs for the change, and reports so"},
	stepSwitched:        {"run", "it has learned that the change is in force, and runs it"},
}

// changeSteps lists the steps of a change in order.
var changeSteps = []Step{stepProposed, stepStaged, stepAdmissionClosed, stepSwitched}

// String returns the fault's line in a schedule.
func (f Fault) String() string {
	s := fmt.Sprintf("%8.3fs  ", f.At.Seconds())
	if f.Step != "" {
		s += "@" + string(f.Step)
		if f.StepInstance != "" {
			s += ":" + f.StepInstance
		}
		s += " "
	}
	s += fmt.Sprintf("%-9s", f.Kind)
	if len(f.Targets) > 0 {
		s += " " + strings.Join(f.Targets, " ")
	}
	if f.Duration > 0 {
		s += " " + f.Duration.String()
	}
	if f.BytesPerSecond > 0 {
		s += fmt.Sprintf(" %d", f.BytesPerSecond)
	}
	return s
}

// FormatSchedule returns a schedule in the format that ParseSchedule reads.
func FormatSchedule(faults []Fault) []byte {
	var b bytes.Buffer
	fmt.Fprintln(&b, "# when, what, whom. \"moorstack prove cluster --help\" lists the faults.")
	for _, f := range faults {
		fmt.Fprintln(&b, f)
	}
	return b.Bytes()
}

// ParseSchedule parses a schedule for the instances of the given names. An error begins with the
// path and the number of the invalid line.
func ParseSchedule(path string, raw []byte, names []string) ([]Fault, error) {
	var list []Fault
	sc := bufio.NewScanner(bytes.NewReader(raw))
	for n := 1; sc.Scan(); n++ {
		line, _, _ := strings.Cut(sc.Text(), "#")
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		f, err := parseFault(fields, names)
		if err == nil && len(list) > 0 && f.At < list[len(list)-1].At {
			err = fmt.Errorf("time %v is earlier than %v on the previous line", f.At, list[len(list)-1].At)
		}
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, n, err)
		}
		f.Line = n
		list = append(list, f)
	}
	return list, sc.Err()
}

func parseFault(fields, names []string) (f Fault, err error) {
	if f.At, err = time.ParseDuration(fields[0]); err != nil || f.At < 0 {
		return f, fmt.Errorf("expected a time since the run's start such as 1.5s, got %q", fields[0])
	}
	if fields = fields[1:]; len(fields) == 0 {
		return f, fmt.Errorf("a fault must follow the time")
	}
	if step, ok := strings.CutPrefix(fields[0], "@"); ok {
		if err := f.parseStep(step, names); err != nil {
			return f, err
		}
		if fields = fields[1:]; len(fields) == 0 {
			return f, fmt.Errorf("a fault must follow the step")
		}
	}
	f.Kind = FaultKind(fields[0])
	syntax, ok := faultKinds[f.Kind]
	if !ok {
		return f, fmt.Errorf("%q is no fault, expected one of %s", f.Kind, joinSorted(faultKinds))
	}
	arguments := fields[1:]
	if want := syntax.arguments(); len(arguments) != want {
		return f, fmt.Errorf("%s: got %d argument(s), expected %d: %s", f.Kind, len(arguments), want,
			syntax.help)
	}
	if err := f.parseTargets(arguments[:syntax.targets], names); err != nil {
		return f, err
	}
	return f, f.parseAmount(syntax, arguments[syntax.targets:])
}

// parseStep parses the text after the @: a step, and optionally the instance that reaches it.
func (f *Fault) parseStep(text string, names []string) error {
	step, instance, _ := strings.Cut(text, ":")
	f.Step, f.StepInstance = Step(step), instance
	if _, ok := steps[f.Step]; !ok {
		return fmt.Errorf("@%s: unknown step, expected one of %s", f.Step, joinSorted(steps))
	}
	if instance != "" && !slices.Contains(names, instance) {
		return fmt.Errorf("@%s: unknown instance %q, expected one of %s to %s", f.Step, instance, names[0],
			names[len(names)-1])
	}
	return nil
}

func (f *Fault) parseTargets(targets, names []string) error {
	f.Targets = targets
	placeholders := []string{TargetLeader, TargetStepInstance, TargetProposer, TargetRestartController}
	for i, target := range targets {
		if target == TargetStepInstance && f.Step == "" {
			return fmt.Errorf("%s: target %q requires a step to wait for (@STEP) on the line", f.Kind, target)
		}
		if !slices.Contains(placeholders, target) && !slices.Contains(names, target) {
			return fmt.Errorf("%s: unknown target %q, expected one of %s to %s, %s, %s, %s and %s", f.Kind,
				target, names[0], names[len(names)-1], TargetLeader, TargetStepInstance, TargetProposer,
				TargetRestartController)
		}
		if slices.Contains(targets[:i], target) {
			return fmt.Errorf("%s: %s is named twice", f.Kind, target)
		}
	}
	return nil
}

// parseAmount parses the duration or the rate that follows the targets of some kinds.
func (f *Fault) parseAmount(syntax faultSyntax, arguments []string) (err error) {
	switch {
	case syntax.duration:
		if f.Duration, err = time.ParseDuration(arguments[0]); err != nil || f.Duration <= 0 ||
			f.Duration > time.Hour {
			return fmt.Errorf("%s: duration must be above 0 and at most 1h, got %q", f.Kind, arguments[0])
		}
	case syntax.rate:
		if f.BytesPerSecond, err = strconv.Atoi(arguments[0]); err != nil || f.BytesPerSecond < 1 {
			return fmt.Errorf("%s: bytes per second must be a whole number of at least 1, got %q", f.Kind,
				arguments[0])
		}
	}
	return nil
}

func joinSorted[K ~string, V any](m map[K]V) string {
	var list []string
	for _, k := range sortedKeys(m) {
		list = append(list, string(k))
	}
	return strings.Join(list, ", ")
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// FaultHelp returns the help on the kinds of faults, one line each, in alphabetical order.
func FaultHelp() string {
	var b strings.Builder
	for _, kind := range sortedKeys(faultKinds) {
		syntax := faultKinds[kind]
		args := []string{"", " A", " A B"}[syntax.targets]
		if syntax.duration {
			args += " TIME"
		}
		if syntax.rate {
			args += " BYTES"
		}
		fmt.Fprintf(&b, "  %-22s %s\n", string(kind)+args, syntax.help)
	}
	return b.String()
}

// StepHelp returns the help on the steps that a fault may wait for, one line each: the steps of a
// change in order, then the others.
func StepHelp() string {
	var b strings.Builder
	others := []Step{stepTaskHeld, stepTaskActed, stepTaskReleased, stepRestarting}
	for _, step := range slices.Concat(changeSteps, others) {
		fmt.Fprintf(&b, "  @%-21s %s\n", step, steps[step].help)
	}
	return b.String()
}
