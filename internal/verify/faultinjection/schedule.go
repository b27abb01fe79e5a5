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

// Fault is a line of a fault schedule: when, what, to whom.
type Fault struct {
	At             time.Duration // since the run's start
	Step           Step          // from At on it waits for this step; empty: it is injected at once
	StepInstance   string        // whose step; empty: any instance's
	Kind           FaultKind
	Targets        []string      // instances, or Target names, in the order of the kind's arguments
	Duration       time.Duration // of a stall, a delay, a clock's offset or until a restart
	BytesPerSecond int
	Line           int // in the file; 0: the fault was drawn
}

// FaultKind is the word of a schedule that names a fault.
type FaultKind string

// The kinds of faults.
const (
	faultCut       FaultKind = "cut"
	faultIsolate   FaultKind = "isolate"
	faultDeaf      FaultKind = "deaf"
	faultMute      FaultKind = "mute"
	faultRefuse    FaultKind = "refuse"
	faultReset     FaultKind = "reset"
	faultHalfOpen  FaultKind = "half-open"
	faultDelay     FaultKind = "delay"
	faultSlow      FaultKind = "slow"
	faultHeal      FaultKind = "heal"
	faultStall     FaultKind = "stall"
	faultKill      FaultKind = "kill"
	faultRestart   FaultKind = "restart"
	faultStart     FaultKind = "start"
	faultFull      FaultKind = "full"
	faultTorn      FaultKind = "torn"
	faultRenew     FaultKind = "renew"
	faultRollBack  FaultKind = "roll-back"
	faultTerminate FaultKind = "leave"
	faultAhead     FaultKind = "ahead"
	faultBehind    FaultKind = "behind"
	faultTrue      FaultKind = "true"
	faultTransfer  FaultKind = "hand-on"
)

// faultSyntax is what follows a fault's kind on its line.
type faultSyntax struct {
	targets  int // how many instances
	duration bool
	rate     bool // bytes a second
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
	faultHalfOpen: {targets: 2, help: "the connections between the two lead nowhere; new ones do"},
	faultDelay: {targets: 2, duration: true,
		help: "what goes from the first to the second takes so long, and up to as much again"},
	faultSlow: {targets: 2, rate: true,
		help: "so many bytes a second get through from the first to the second"},
	faultHeal:  {help: "all links are well again"},
	faultStall: {targets: 1, duration: true, help: "the process stands still (SIGSTOP) for so long"},
	faultKill:  {targets: 1, help: "the process dies (SIGKILL)"},
	faultRestart: {targets: 1, duration: true,
		help: "the process dies (SIGKILL) and is started again after so long"},
	faultStart: {targets: 1, help: "it is started again, on its directory"},
	faultFull: {targets: 1, duration: true,
		help: "its disk is full for so long; then there is room, and it is started again"},
	faultRenew:    {targets: 1, help: "it dies and is started as the program is now (see --older)"},
	faultRollBack: {targets: 1, help: "it dies and is started as the program was earlier (see --older)"},
	faultTerminate: {targets: 1, duration: true,
		help: "it is asked to end (SIGTERM), and started again so long after it has"},
	faultAhead:  {targets: 1, duration: true, help: "its wall clock is set so far ahead of the true one"},
	faultBehind: {targets: 1, duration: true, help: "its wall clock is set so far behind the true one"},
	faultTrue:   {targets: 1, help: "its wall clock is set right"},
	faultTransfer: {targets: 1,
		help: "an operator, who asks it, has the first duty go to it"},
	faultTorn: {targets: 1, duration: true,
		help: "it dies in the midst of a write, of which a part is on its disk; started after so long"},
}

// Names that a schedule may use for an instance that is known only when the fault is injected.
const (
	TargetLeader            = "leader"    // the leader of the highest term
	TargetStepInstance      = "it"        // whose step the fault waited for
	TargetProposer          = "asked"     // through which the client has proposed last
	TargetRestartController = "conductor" // which holds the lease of the rolling restart's controller
)

// Step is the word of a schedule that names a step of a change, of a leased task's work or of a
// rolling restart, for which a fault may wait.
type Step string

// The steps.
const (
	stepTaskHeld     Step = "holds"
	stepTaskActed    Step = "acts"
	stepTaskReleased Step = "gives"
	stepRestarting   Step = "out"
	stepProposed     Step = "proposed"
	stepStaged       Step = "staged"
	stepCeased       Step = "ceased"
	stepSwitched     Step = "switched"
)

// steps gives for each step the audit journal's event that shows it.
var steps = map[Step]struct{ event, help string }{
	stepTaskHeld:     {"hold", "it has learned that it holds a duty, and begins its work"},
	stepTaskActed:    {"act", "it has acted in a duty just now"},
	stepTaskReleased: {"leave", "it has ended its work in a duty, and gives it back"},
	stepRestarting:   {"out", "it has read that a rolling restart takes it out (see --rolls)"},
	stepProposed:     {"staging", "an instance hears of a change"},
	stepStaged:       {"staged", "it is ready to switch to it, and says so"},
	stepCeased:       {"permit", "it admits no jobs any more, and says so"},
	stepSwitched:     {"run", "it has learned that the change is in force, and runs it"},
}

// changeSteps are the steps of a change, in their order.
var changeSteps = []Step{stepProposed, stepStaged, stepCeased, stepSwitched}

// String is the fault's line in a schedule.
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

// FormatSchedule gives the text that ParseSchedule reads.
func FormatSchedule(faults []Fault) []byte {
	var b bytes.Buffer
	fmt.Fprintln(&b, "# when, what, whom. \"moorstack prove cluster --help\" lists the faults.")
	for _, f := range faults {
		fmt.Fprintln(&b, f)
	}
	return b.Bytes()
}

// ParseSchedule reads a schedule for instances of these names. An error begins with the path and
// the number of the line that is wrong.
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
			err = fmt.Errorf("time %v comes after %v in the line before", f.At, list[len(list)-1].At)
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
		return f, fmt.Errorf("%q is not a time from the beginning on, as in 1.5s", fields[0])
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
		return f, fmt.Errorf("%q is no fault; %s are", f.Kind, joinSorted(faultKinds))
	}
	arguments := fields[1:]
	if want := syntax.arguments(); len(arguments) != want {
		return f, fmt.Errorf("%s: %d words follow, %d are wanted: %s", f.Kind, len(arguments), want,
			syntax.help)
	}
	if err := f.parseTargets(arguments[:syntax.targets], names); err != nil {
		return f, err
	}
	return f, f.parseAmount(syntax, arguments[syntax.targets:])
}

// parseStep reads what follows the @: a step, and whose.
func (f *Fault) parseStep(text string, names []string) error {
	step, instance, _ := strings.Cut(text, ":")
	f.Step, f.StepInstance = Step(step), instance
	if _, ok := steps[f.Step]; !ok {
		return fmt.Errorf("@%s: no change or duty has such a step; %s are", f.Step, joinSorted(steps))
	}
	if instance != "" && !slices.Contains(names, instance) {
		return fmt.Errorf("@%s: there is no instance %q; %s to %s are", f.Step, instance, names[0],
			names[len(names)-1])
	}
	return nil
}

func (f *Fault) parseTargets(targets, names []string) error {
	f.Targets = targets
	placeholders := []string{TargetLeader, TargetStepInstance, TargetProposer, TargetRestartController}
	for i, target := range targets {
		if target == TargetStepInstance && f.Step == "" {
			return fmt.Errorf("%s: %q is who has taken a step, and the line waits for none", f.Kind, target)
		}
		if !slices.Contains(placeholders, target) && !slices.Contains(names, target) {
			return fmt.Errorf("%s: there is no instance %q; %s to %s are, and %s, %s, %s and %s", f.Kind,
				target, names[0], names[len(names)-1], TargetLeader, TargetStepInstance, TargetProposer,
				TargetRestartController)
		}
		if slices.Contains(targets[:i], target) {
			return fmt.Errorf("%s: %s is named twice", f.Kind, target)
		}
	}
	return nil
}

// parseAmount reads the duration or the rate that a kind takes after its targets.
func (f *Fault) parseAmount(syntax faultSyntax, arguments []string) (err error) {
	switch {
	case syntax.duration:
		if f.Duration, err = time.ParseDuration(arguments[0]); err != nil || f.Duration <= 0 ||
			f.Duration > time.Hour {
			return fmt.Errorf("%s: %q is not a time above 0 and up to 1h", f.Kind, arguments[0])
		}
	case syntax.rate:
		if f.BytesPerSecond, err = strconv.Atoi(arguments[0]); err != nil || f.BytesPerSecond < 1 {
			return fmt.Errorf("%s: %q is not a number of bytes a second", f.Kind, arguments[0])
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

// FaultHelp describes the kinds of faults, a line each, in alphabetical order.
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

// StepHelp describes the steps that a fault may wait for, a line each: those of a change in their
// order, then the rest.
func StepHelp() string {
	var b strings.Builder
	others := []Step{stepTaskHeld, stepTaskActed, stepTaskReleased, stepRestarting}
	for _, step := range slices.Concat(changeSteps, others) {
		fmt.Fprintf(&b, "  @%-21s %s\n", step, steps[step].help)
	}
	return b.String()
}
