package consensus

import (
	"errors"
	"fmt"
	"io"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/rollout"
	"moorstack/internal/schema"
	"moorstack/internal/storage/faultfs"
	"moorstack/internal/storage/store"
)

func quiet() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func document(worth float64) *clusterstate.Document {
	return &clusterstate.Document{
		Classes: []clusterstate.Class{{Name: "c", Effect: "retryable", Deadline: 5e9, PriorityWeight: worth}},
	}
}

// alone is an instance that is a group by itself, and what it has told.
type alone struct {
	*Instance
	fs      *faultfs.FS
	log     *store.Store
	answers map[RequestID]Response
}

func open(t testing.TB, fs *faultfs.FS) *alone { return openBy(t, fs, clusterstate.Rules{}) }

func openBy(t testing.TB, fs *faultfs.FS, rules clusterstate.Rules) *alone {
	t.Helper()
	saved := NewRecoveredState()
	log, err := store.Open("/d", store.Options{FS: fs}, saved.RestoreSnapshot, saved.ReplayRecord)
	if err != nil {
		t.Fatal(err)
	}
	i, err := New(
		Config{Rules: rules, Logger: quiet(), Seed: 1, SnapshotCount: 7, SnapshotCatchUpEntries: 2},
		saved,
		77,
		"n1",
	)
	if err != nil {
		t.Fatal(err)
	}
	return &alone{i, fs, log, map[RequestID]Response{}}
}

func (a *alone) drive(t testing.TB) {
	t.Helper()
	var fronts []func() // what the fronts say to what they were told
	if err := ProcessReady(a.Instance, a.log, func() time.Duration { return 0 }, func(e Effects) {
		for _, x := range e.Responses {
			a.answers[x.RequestID] = x
		}
		if r := e.Stage; r != nil {
			fronts = append(fronts, func() { a.ReportStaged(r.ChangeID, nil) })
		}
		if p := e.Permit; p != nil && p.Change != "" {
			fronts = append(fronts, func() { a.ReportAdmissionClosed(p.Change, p.Attempt) })
		}
	}); err != nil {
		t.Fatal(err)
	}
	for _, f := range fronts {
		f()
		a.drive(t)
	}
}

func lead(t testing.TB) *alone {
	a := open(t, faultfs.New(1))
	if err := a.Bootstrap("g", "127.0.0.1:1", document(1), 0); err != nil {
		t.Fatal(err)
	}
	a.drive(t)
	return a
}

func (a *alone) propose(t testing.TB, id string, base uint64, worth float64) Response {
	ticket := a.Propose(clusterstate.Change{ID: id, BaseRevision: base, Document: document(worth)}, false)
	a.drive(t)
	return a.answers[ticket]
}

// What was answered is there after any number of restarts, through snapshots.
func TestRestartsFromItsStore(t *testing.T) {
	a := lead(t)
	for n := range 40 {
		worth := float64(n + 2)
		got := a.propose(t, "x"+string(rune('a'+n)), uint64(n+1), worth)
		if got.Err != nil || got.Outcome.Code != clusterstate.Accepted ||
			got.Outcome.Revision != uint64(n+2) {
			t.Fatalf("change %d: %+v", n, got)
		}
		if n%3 == 0 {
			a.fs.LosePower()
			a = open(t, a.fs)
			// It has not been elected again, but knows what it knew.
			if got := a.propose(t, "y", uint64(n+2), 0); !errors.Is(got.Err, ErrNoLeader) {
				t.Fatalf("without a leader: %+v", got)
			}
			for range 25 {
				a.Tick()
				a.drive(t)
			}
			if s := a.Status(); s.Role != "leader" || s.Revision != uint64(n+2) {
				t.Fatalf("after a restart: %+v", s)
			}
		}
	}
}

func TestWhatMembersMayNotDo(t *testing.T) {
	a := lead(t)
	for want, op := range map[string]*schema.Operation{
		"the last instance with a vote can't be removed": {Kind: schema.Operation_REMOVE, Name: "n1"},
		`the group has no instance "n9"`:                 {Kind: schema.Operation_PROMOTE, Name: "n9"},
		"n1 has a vote already":                          {Kind: schema.Operation_PROMOTE, Name: "n1"},
		"n1 is at 127.0.0.1:1 already": {Kind: schema.Operation_ADD, Name: "n2",
			Address: "127.0.0.1:1"},
	} {
		ticket := a.Operate(op, 99)
		a.drive(t)
		var refused *RejectedError
		if got := a.answers[ticket].Err; !errors.As(got, &refused) || got.Error() != want {
			t.Errorf("%v: %v", op.Kind, got)
		}
	}
	if err := a.Bootstrap("h", "127.0.0.1:1", document(1), 0); err == nil {
		t.Error("a group is made of a member of another")
	}
	if err := a.Join("h"); err == nil {
		t.Error("a member joins another group")
	}
}

// A proposal that nobody can read must not get into the log: it would stop every instance.
func TestUnreadableProposal(t *testing.T) {
	a := lead(t)
	for _, e := range []*pb.Entry{{Data: []byte("x")}, {Type: pb.EntryConfChangeV2.Enum()}, {}, nil} {
		err := a.Step(&pb.Message{Type: pb.MsgProp.Enum(), From: proto.Uint64(78), To: proto.Uint64(77),
			Entries: []*pb.Entry{e}})
		if err == nil {
			t.Errorf("taken: %v", e)
		}
		a.drive(t)
	}
	if got := a.propose(t, "x", 1, 2); got.Outcome.Code != clusterstate.Accepted {
		t.Errorf("it goes on with %+v", got)
	}
}

// FuzzStep has any bytes come from another instance: an error or not, but the process goes
// on, and nothing that was agreed on is lost.
func FuzzStep(f *testing.F) {
	add := func(m *pb.Message) {
		b, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	u := proto.Uint64
	add(&pb.Message{Type: pb.MsgApp.Enum(), From: u(78), To: u(77), Term: u(9), LogTerm: u(1), Index: u(1),
		Entries: []*pb.Entry{
			{Index: u(2), Term: u(9), Type: pb.EntryNormal.Enum(), Data: []byte("x")},
		}, Commit: u(2)})
	add(&pb.Message{Type: pb.MsgHeartbeat.Enum(), From: u(78), To: u(77), Term: u(9), Commit: u(1 << 40)})
	add(&pb.Message{Type: pb.MsgSnap.Enum(), From: u(78), To: u(77), Term: u(9), Snapshot: &pb.Snapshot{
		Data: []byte(
			"{}",
		), Metadata: &pb.SnapshotMetadata{Index: u(9), Term: u(9), ConfState: &pb.ConfState{}}}})
	add(
		&pb.Message{
			Type:    pb.MsgProp.Enum(),
			From:    u(78),
			To:      u(77),
			Entries: []*pb.Entry{{Data: []byte("x")}},
		},
	)
	add(&pb.Message{Type: pb.MsgProp.Enum(), From: u(78), To: u(77), Entries: []*pb.Entry{{
		Type: pb.EntryConfChangeV2.Enum(), Data: []byte("x")}}})
	add(&pb.Message{Type: pb.MsgHup.Enum(), From: u(78), To: u(77)})
	add(&pb.Message{Type: pb.MsgReadIndex.Enum(), From: u(78), To: u(77), Entries: []*pb.Entry{{}}})
	add(&pb.Message{Type: pb.MsgAppResp.Enum(), From: u(78), To: u(77), Term: u(2), Index: u(1 << 50)})
	f.Fuzz(func(t *testing.T, b []byte) {
		a := lead(t)
		m := &pb.Message{}
		if proto.Unmarshal(b, m) != nil {
			return
		}
		_ = a.Step(m)
		a.drive(t)
		for range 3 {
			a.Tick()
			a.drive(t)
		}
		if r := a.State().CurrentRevision(); r.Number < 1 {
			t.Errorf("revision %d is left", r.Number)
		}
		a.fs.LosePower()
		open(t, a.fs) // and what it wrote can be read
	})
}

// A group that an older program has made takes no change while one of its members is not known
// to know staging, by its name; then it goes to the new format by itself.
func TestOlderProgramInTheGroup(t *testing.T) {
	a := lead(t)
	a.state.ApplyMembership([]clusterstate.Member{{ID: 88, Name: "old", Address: "127.0.0.1:8"}}, nil)
	image := strings.Replace(string(a.state.Encode()), fmt.Sprintf(`"format":%d`, clusterstate.LatestFormat),
		`"format":1`, 1)
	image = regexp.MustCompile(`,"sessions":\[.*?\],"epoch":\d+`).ReplaceAllString(image, "")
	old, err := clusterstate.Restore(clusterstate.Rules{}, []byte(image))
	if err != nil || old.Format() != 1 {
		t.Fatalf("%v: %s", err, image)
	}
	a.state = old
	tick := func() {
		for range 12 {
			a.Tick()
			a.drive(t)
		}
	}
	tick()
	got := a.propose(t, "x", 1, 5)
	if got.Err == nil || !strings.Contains(got.Err.Error(), "old: not known yet to run a program") {
		t.Fatalf("with an older program: %+v", got)
	}
	a.ObserveFormat(88, 1)
	got = a.propose(t, "x", 1, 5)
	if got.Err == nil || !strings.Contains(got.Err.Error(), "old: runs an older program") {
		t.Fatalf("with an older program that has spoken: %+v", got)
	}
	if a.State().Format() != 1 || a.State().CurrentRevision().Number != 1 {
		t.Fatal("the group has changed all the same")
	}
	a.ObserveFormat(88, clusterstate.LatestFormat)
	tick()
	if a.State().Format() != clusterstate.LatestFormat {
		t.Fatal("the group does not go to the new format")
	}
	for _, x := range a.State().Rollout().List() {
		if !x.Open || !x.Unleased {
			t.Errorf("one that served before has %+v", x)
		}
	}
}

// Who asks an instance that is removed while the change takes hold is answered all the same.
func TestRequestAtARemovedInstanceIsAnswered(t *testing.T) {
	a := lead(t)
	a.state.Rollout().Sessions[88] = rollout.Session{Member: 88, Name: "n2", Epoch: 99, Open: true,
		Unleased: true}
	ticket := a.Propose(clusterstate.Change{ID: "x", BaseRevision: 1, Document: document(2)}, false)
	wait := func() {
		for range a.cfg.RequestTimeoutTicks + 2 {
			a.Tick()
			a.drive(t)
		}
	}
	wait()
	if got, ok := a.answers[ticket]; ok {
		t.Fatalf("while it waits for n2: %+v", got)
	}
	a.state.ApplyMembership(nil, []uint64{77})
	wait()
	if got := a.answers[ticket]; !errors.Is(got.Err, ErrOutcomeUnknown) {
		t.Errorf("removed: %+v", got)
	}
}
