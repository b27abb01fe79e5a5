package faultinjection

import (
	"bufio"
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Fault is a line of a story: when, what, whom.
type Fault struct {
	At             time.Duration
	Step           string // from At on it waits for this step of a change; empty: it comes at once
	StepInstance   string // whose step; empty: anybody's
	Kind           string
	Targets        []string
	Duration       time.Duration // of a stall, or of a delay's length
	BytesPerSecond int           // bytes a second
	Line           int           // in the file; 0: drawn
}

// faultKinds are the faults that there are: how many instances each names, and what it has beside.
var faultKinds = map[string]struct {
	who  int
	span bool
	rate bool
	says string
}{
	"cut":       {who: 2, says: "nothing gets through from the first to the second"},
	"isolate":   {who: 1, says: "nothing gets through to or from it"},
	"deaf":      {who: 1, says: "nothing gets through to it"},
	"mute":      {who: 1, says: "nothing gets through from it"},
	"refuse":    {who: 2, says: "the first's new connections to the second are refused"},
	"reset":     {who: 2, says: "the connections between the two are reset"},
	"half-open": {who: 2, says: "the connections between the two lead nowhere; new ones do"},
	"delay": {who: 2, span: true,
		says: "what goes from the first to the second takes so long, and up to as much again"},
	"slow": {who: 2, rate: true,
		says: "so many bytes a second get through from the first to the second"},
	"heal":    {says: "all links are well again"},
	"stall":   {who: 1, span: true, says: "the process stands still (SIGSTOP) for so long"},
	"kill":    {who: 1, says: "the process dies (SIGKILL)"},
	"restart": {who: 1, span: true, says: "the process dies (SIGKILL) and is started again after so long"},
	"start":   {who: 1, says: "it is started again, on its directory"},
	"full": {who: 1, span: true,
		says: "its disk is full for so long; then there is room, and it is started again"},
	"renew":     {who: 1, says: "it dies and is started as the program is now (see --older)"},
	"roll-back": {who: 1, says: "it dies and is started as the program was earlier (see --older)"},
	"leave": {who: 1, span: true,
		says: "it is asked to end (SIGTERM), and started again so long after it has"},
	"ahead":   {who: 1, span: true, says: "its wall clock is set so far ahead of the true one"},
	"behind":  {who: 1, span: true, says: "its wall clock is set so far behind the true one"},
	"true":    {who: 1, says: "its wall clock is set right"},
	"hand-on": {who: 1, says: "an operator, who asks it, has the first duty go to it"},
	"torn": {who: 1, span: true,
		says: "it dies in the midst of a write, of which a part is on its disk; started after so long"},
}

// Who may be named beside the instances.
const (
	TargetLeader       = "leader" // whoever leads when the fault comes
	TargetStepInstance = "it"     // whose step it was that the fault waited for
	TargetProposer     = "asked"  // whom the client has asked for a change, last
	// TargetRestartController is whoever takes the instances out (see --rolls).
	TargetRestartController = "conductor"
)

// steps are those of a change's life, or of a duty's work, that a fault may wait for, with what the journals
// call them.
var steps = map[string]struct{ what, says string }{
	"holds":    {"hold", "it has learned that it holds a duty, and begins its work"},
	"acts":     {"act", "it has acted in a duty just now"},
	"gives":    {"leave", "it has ended its work in a duty, and gives it back"},
	"out":      {"out", "it has read that a rolling restart takes it out (see --rolls)"},
	"proposed": {"staging", "an instance hears of a change"},
	"staged":   {"staged", "it is ready to switch to it, and says so"},
	"ceased":   {"permit", "it admits no jobs any more, and says so"},
	"switched": {"run", "it has learned that the change is in force, and runs it"},
}

// changeSteps are the steps of a change, in their order.
var changeSteps = []string{"proposed", "staged", "ceased", "switched"}

// String implements fmt.Stringer.
func (f Fault) String() string {
	s := fmt.Sprintf("%8.3fs  ", f.At.Seconds())
	if f.Step != "" {
		s += "@" + f.Step
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

// FormatSchedule gives the text that ReadStory reads.
func FormatSchedule(faults []Fault) []byte {
	var b bytes.Buffer
	fmt.Fprintln(&b, "# when, what, whom. \"moorstack prove cluster --help\" lists the faults.")
	for _, f := range faults {
		fmt.Fprintln(&b, f)
	}
	return b.Bytes()
}

// ParseSchedule reads a story for instances of these names. What makes no sense is an error that
// names its line.
func ParseSchedule(path string, raw []byte, names []string) ([]Fault, error) {
	var list []Fault
	sc := bufio.NewScanner(bytes.NewReader(raw))
	for n := 1; sc.Scan(); n++ {
		line, _, _ := strings.Cut(sc.Text(), "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		f, err := readFault(words, names)
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

func readFault(words, names []string) (f Fault, err error) {
	if f.At, err = time.ParseDuration(words[0]); err != nil || f.At < 0 {
		return f, fmt.Errorf("%q is not a time from the beginning on, as in 1.5s", words[0])
	}
	if len(words) < 2 {
		return f, fmt.Errorf("a fault must follow the time")
	}
	words = words[1:]
	if step, ok := strings.CutPrefix(words[0], "@"); ok {
		f.Step, f.StepInstance, _ = strings.Cut(step, ":")
		if _, ok := steps[f.Step]; !ok {
			return f, fmt.Errorf("@%s: no change or duty has such a step; %s are", f.Step, strings.Join(
				slices.Sorted(maps.Keys(steps)), ", "))
		}
		if f.StepInstance != "" && !slices.Contains(names, f.StepInstance) {
			return f, fmt.Errorf(
				"@%s: there is no instance %q; %s to %s are",
				f.Step,
				f.StepInstance,
				names[0],
				names[len(names)-1],
			)
		}
		if words = words[1:]; len(words) == 0 {
			return f, fmt.Errorf("a fault must follow the step")
		}
	}
	f.Kind = words[0]
	shape, ok := faultKinds[f.Kind]
	if !ok {
		return f, fmt.Errorf(
			"%q is no fault; %s are",
			f.Kind,
			strings.Join(slices.Sorted(maps.Keys(faultKinds)),
				", "),
		)
	}
	rest := words[1:]
	want := shape.who
	if shape.span || shape.rate {
		want++
	}
	if len(rest) != want {
		return f, fmt.Errorf("%s: %d words follow, %d are wanted: %s", f.Kind, len(rest), want, shape.says)
	}
	f.Targets = rest[:shape.who]
	for i, w := range f.Targets {
		if w == TargetStepInstance && f.Step == "" {
			return f, fmt.Errorf(
				"%s: %q is who has taken a step, and the line waits for none",
				f.Kind,
				TargetStepInstance,
			)
		}
		if w != TargetLeader && w != TargetStepInstance && w != TargetProposer &&
			w != TargetRestartController &&
			!slices.Contains(names, w) {
			return f, fmt.Errorf(
				"%s: there is no instance %q; %s to %s are, and %s, %s, %s and %s",
				f.Kind,
				w,
				names[0],
				names[len(names)-1],
				TargetLeader,
				TargetStepInstance,
				TargetProposer,
				TargetRestartController,
			)
		}
		if slices.Contains(f.Targets[:i], w) {
			return f, fmt.Errorf("%s: %s is named twice", f.Kind, w)
		}
	}
	if shape.span {
		if f.Duration, err = time.ParseDuration(rest[shape.who]); err != nil || f.Duration <= 0 ||
			f.Duration > time.Hour {
			return f, fmt.Errorf("%s: %q is not a time above 0 and up to 1h", f.Kind, rest[shape.who])
		}
	}
	if shape.rate {
		if f.BytesPerSecond, err = strconv.Atoi(rest[shape.who]); err != nil || f.BytesPerSecond < 1 {
			return f, fmt.Errorf("%s: %q is not a number of bytes a second", f.Kind, rest[shape.who])
		}
	}
	return f, nil
}

// FaultHelp describes the faults that a story may have, a line each.
func FaultHelp() string {
	var b strings.Builder
	for _, k := range slices.Sorted(maps.Keys(faultKinds)) {
		s := faultKinds[k]
		args := []string{"", " A", " A B"}[s.who]
		if s.span {
			args += " TIME"
		}
		if s.rate {
			args += " BYTES"
		}
		fmt.Fprintf(&b, "  %-22s %s\n", k+args, s.says)
	}
	return b.String()
}

// StepHelp describes the steps that a fault may wait for, a line each.
func StepHelp() string {
	var b strings.Builder
	for _, k := range slices.Concat(changeSteps, []string{"holds", "acts", "gives", "out"}) {
		fmt.Fprintf(&b, "  @%-21s %s\n", k, steps[k].says)
	}
	return b.String()
}

// LeaderKillSchedule is the story of prove config: whoever leads dies, again and again.
func LeaderKillSchedule(seed uint64, length time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 4))
	var list []Fault
	for at := time.Second; at < length; at += time.Duration(1200+rng.IntN(800)) * time.Millisecond {
		list = append(list, Fault{At: at, Kind: "restart", Targets: []string{TargetLeader},
			Duration: time.Duration(100+rng.IntN(900)) * time.Millisecond})
	}
	return list
}

// DrawSchedule makes a story of a seed: faults over a time, each ended some time after.
func DrawSchedule(seed uint64, names []string, length time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 7))
	drawn := slices.Sorted(slices.Values(changeSteps))
	var list []Fault
	add := func(at time.Duration, kind string, span time.Duration, who ...string) {
		f := Fault{
			At:       at.Round(time.Millisecond),
			Kind:     kind,
			Targets:  who,
			Duration: span.Round(time.Millisecond),
		}
		if kind == "slow" {
			f.BytesPerSecond = 200 << rng.IntN(8)
		}
		list = append(list, f)
	}
	one := func() string {
		if rng.IntN(4) == 0 {
			return TargetLeader
		}
		return names[rng.IntN(len(names))]
	}
	two := func() (string, string) {
		a := rng.IntN(len(names))
		return names[a], names[(a+1+rng.IntN(len(names)-1))%len(names)]
	}
	for at := 300 * time.Millisecond; at < length; at += time.Duration(150+rng.IntN(
		1200)) * time.Millisecond {
		a, b := two()
		if k := rng.IntN(5); k < 2 {
			// At a step of a change.
			f := Fault{At: at.Round(time.Millisecond), Step: drawn[rng.IntN(len(drawn))], Kind: "stall",
				Targets:  []string{[]string{TargetLeader, TargetStepInstance, TargetProposer}[rng.IntN(3)]},
				Duration: time.Duration(5*(1<<rng.IntN(9))) * time.Millisecond}
			f.Kind = []string{"stall", "restart", "restart", "torn", "full", "isolate", "deaf", "mute",
				"hand-on"}[rng.IntN(9)]
			if faultKinds[f.Kind].span {
				list = append(list, f)
				continue
			}
			f.Duration = 0
			if list = append(list, f); f.Kind == "hand-on" {
				continue
			}
			add(at+time.Duration(100+rng.IntN(2500))*time.Millisecond, "heal", 0)
			continue
		}
		if rng.IntN(12) == 0 {
			// One clock of the group is off at a time.
			span := []time.Duration{800 * time.Millisecond, 5 * time.Minute, time.Hour}[rng.IntN(3)]
			add(at, []string{"ahead", "behind"}[rng.IntN(2)], span, names[0])
			add(at+time.Duration(500+rng.IntN(4000))*time.Millisecond, "true", 0, names[0])
			continue
		}
		if rng.IntN(12) == 0 {
			add(at, "leave", time.Duration(50+rng.IntN(2000))*time.Millisecond, one())
			continue
		}
		switch k := rng.IntN(16); k {
		case 0, 1, 2, 3:
			// From 5 ms to some leases.
			add(at, "stall", time.Duration(5*(1<<rng.IntN(10)))*time.Millisecond, one())
		case 4, 5:
			who := names[rng.IntN(len(names))]
			add(at, "kill", 0, who)
			add(at+time.Duration(50+rng.IntN(3000))*time.Millisecond, "start", 0, who)
		case 6:
			add(at, "isolate", 0, one())
		case 7:
			add(at, "deaf", 0, one())
		case 8:
			add(at, "mute", 0, one())
		case 9:
			add(at, "cut", 0, a, b)
		case 10:
			add(at, "reset", 0, a, b)
		case 11:
			add(at, "half-open", 0, a, b)
		case 12:
			add(at, "delay", time.Duration(1+rng.IntN(200))*time.Millisecond, a, b)
		case 13:
			add(at, "slow", 0, a, b)
		case 14:
			add(at, "refuse", 0, a, b)
		default:
			add(at, "heal", 0)
		}
		if rng.IntN(3) == 0 {
			add(at+time.Duration(100+rng.IntN(2500))*time.Millisecond, "heal", 0)
		}
	}
	slices.SortStableFunc(list, func(a, b Fault) int { return int(a.At - b.At) })
	return list
}
