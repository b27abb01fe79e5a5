package node

import (
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"moorstack/balancer"
	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
)

// testEnvironment returns an environment with a silent log and an audit log, and the audit log's path.
func testEnvironment(t *testing.T) (*environment, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "audit")
	audit, err := openAuditLog(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = audit.close() })
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return &environment{name: "one", log: log, audit: audit}, path
}

// auditEvents returns the audit log's lines without their times.
func auditEvents(t *testing.T, path string) (events []string) {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(raw)) {
		_, event, ok := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		if !ok {
			t.Fatalf("audit line %q has no time", line)
		}
		events = append(events, event)
	}
	return events
}

func TestNilAuditLogWritesNothing(t *testing.T) {
	var a *auditLog
	if a.write("open %d", 1); a.enabled() {
		t.Error("a nil audit log is enabled")
	}
}

// fakeDriver records its calls.
type fakeDriver struct {
	name  string
	err   error
	calls *[]string
}

func (f *fakeDriver) Supports(*clusterstate.Document) error { f.call("supports"); return f.err }

func (f *fakeDriver) Prepare(*clusterstate.Document, balancer.Settings) preparedChange {
	f.call("prepare")
	return f
}

func (f *fakeDriver) ClusterChanged(consensus.ClusterView) { f.call("cluster changed") }

func (f *fakeDriver) Apply() { f.call("apply") }

func (f *fakeDriver) call(what string) { *f.calls = append(*f.calls, f.name+" "+what) }

func TestDriversAreCalledInOrder(t *testing.T) {
	var calls []string
	set := driverSet{&fakeDriver{"a", nil, &calls}, &fakeDriver{"b", nil, &calls}}
	change := set.Prepare(nil, balancer.Settings{})
	change.Apply()
	set.ClusterChanged(consensus.ClusterView{})
	want := []string{"a prepare", "b prepare", "a apply", "b apply", "a cluster changed", "b cluster changed"}
	if !slices.Equal(calls, want) {
		t.Errorf("got calls %q, want each step of a before that of b", calls)
	}
}

func TestFirstUnsupportedReasonIsGiven(t *testing.T) {
	var calls []string
	first, second := errors.New("first"), errors.New("second")
	set := driverSet{&fakeDriver{"a", nil, &calls}, &fakeDriver{"b", first, &calls},
		&fakeDriver{"c", second, &calls}}
	if err := set.Supports(nil); !errors.Is(err, first) {
		t.Errorf("got error %v, want the first driver's", err)
	}
}
