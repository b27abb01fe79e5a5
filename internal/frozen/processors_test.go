package frozen

import (
	"os"
	"os/exec"
	"regexp"
	"strings"
	"testing"
)

// portablePackages must compute the same results on every processor.
var portablePackages = []string{"moorstack/balancer", "moorstack/internal/portablemath",
	"moorstack/internal/verify/emulate"}

// Guards against a decision, or a result of the emulator, that depends on the processor: a fused
// multiply-add, which rounds once where other processors round twice, or a function that is assembly on some
// processors. It reads the compiler's own output, for both processors and with the fused instructions of
// newer x86-64 ones.
func TestDecisionsDoNotDependOnTheProcessor(t *testing.T) {
	for _, target := range []struct{ name, architecture, level string }{
		{"arm64", "arm64", "GOARM64=v8.0"},
		{"x86-64", "amd64", "GOAMD64=v1"},
		{"x86-64 with fused multiply-add", "amd64", "GOAMD64=v3"},
	} {
		t.Run(target.name, func(t *testing.T) {
			assembly := compile(t, "GOARCH="+target.architecture, target.level)
			for _, function := range []string{"balancer.drawSize STEXT", "portablemath.expReduced STEXT",
				"emulate.(*Worker).rate STEXT"} {
				if !strings.Contains(assembly, function) {
					t.Fatalf("the compiler's output lacks %q", function)
				}
			}
			for _, line := range processorDependentLines(assembly) {
				t.Errorf("the result depends on the processor: %s", line)
			}
		})
	}
}

// Each kind of processor-dependent instruction is found, and others are not.
func TestProcessorDependentLinesAreFound(t *testing.T) {
	const dependent = `	0x003c 00060 (a.go:1)	FNMSUBD	F1, F3, F0, F0
	0x003c 00060 (a.go:2)	FMADDS	F1, F3, F0, F0
	0x003c 00060 (a.go:3)	VFMADD231SD	X0, X1, X2
	0x003c 00060 (a.go:4)	CALL	math.archExp2(SB)
	0x003c 00060 (a.go:5)	CALL	math.Log(SB)
	0x003c 00060 (a.go:6)	CALL	math/rand/v2.(*Rand).NormFloat64(SB)`
	const others = `	0x003c 00060 (a.go:7)	FMULD	F1, F3, F0
	0x003c 00060 (a.go:8)	CALL	math.Ceil(SB)
	0x003c 00060 (a.go:9)	CALL	math/rand/v2.(*Rand).uint64n(SB)`
	got := strings.Join(processorDependentLines(dependent+"\n"+others), "\n")
	if want := strings.ReplaceAll(dependent, "\n\t", "\n"); got != strings.TrimSpace(want) {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}

// compile returns the assembly that the compiler makes of portablePackages.
func compile(t *testing.T, environment ...string) string {
	t.Helper()
	arguments := []string{"build"}
	for _, name := range portablePackages {
		arguments = append(arguments, "-gcflags="+name+"=-S")
	}
	command := exec.Command("go", append(arguments, portablePackages...)...)
	command.Env = append(append(os.Environ(), "CGO_ENABLED=0", "GOFLAGS="), environment...)
	output, err := command.CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	return string(output)
}

var (
	fusedInstruction = regexp.MustCompile(`\t(V?FN?M(ADD|SUB)\w+)\t`)
	mathCall         = regexp.MustCompile(`\tCALL\tmath(?:/[\w/]+)?\.([^\t]+)\(SB\)`)
)

// exactFunctions are the functions of the standard library's math packages whose results are exact, or are
// computed from integers, on every processor.
var exactFunctions = map[string]bool{
	"Ceil": true, "Trunc": true, "frexp": true, "ldexp": true, "(*Rand).uint64n": true,
	"(*Rand).Shuffle": true, "(*Rand).Perm": true,
}

// processorDependentLines returns the lines of the compiler's output whose result may depend on the
// processor.
func processorDependentLines(assembly string) []string {
	var found []string
	for line := range strings.Lines(assembly) {
		call := mathCall.FindStringSubmatch(line)
		if fusedInstruction.MatchString(line) || call != nil && !exactFunctions[call[1]] {
			found = append(found, strings.TrimSpace(line))
		}
	}
	return found
}
