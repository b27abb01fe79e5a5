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

func discardLogger() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func document(weight float64) *clusterstate.Document {
	return &clusterstate.Document{
		Classes: []clusterstate.Class{{Name: "c", Idempotency: "retryable", Timeout: 5e9,
			PriorityWeight: weight}},
	}
}

// soleMember is an instance that is a group by itself, with the responses that it has given.
type soleMember struct {
	*Instance
	disk      *faultfs.FS
	log       *store.Store
	responses map[RequestID]Response
}

func open(t testing.TB, disk *faultfs.FS) *soleMember {
	t.Helper()
	return openWithRules(t, disk, clusterstate.Rules{})
}

func openWithRules(t testing.TB, disk *faultfs.FS, rules clusterstate.Rules) *soleMember {
	t.Helper()
	recovered := NewRecoveredState()
	log, err := store.Open("/d", store.Options{FS: disk}, recovered.RestoreSnapshot, recovered.ReplayRecord)
	if err != nil {
		t.Fatal(err)
	}
	i, err := New(Config{Rules: rules, Logger: discardLogger(), Seed: 1, SnapshotCount: 7,
		SnapshotCatchUpEntries: 2}, recovered, 77, "n1")
	if err != nil {
		t.Fatal(err)
	}
	return &soleMember{i, disk, log, map[RequestID]Response{}}
}

// process carries out what is due, and answers for the fronts.
func (s *soleMember) process(t testing.TB) {
	t.Helper()
	var reports []func() // of the fronts
	carryOut := func(e Effects) {
		for _, r := range e.Responses {
			s.responses[r.RequestID] = r
		}
		if r := e.Stage; r != nil {
			reports = append(reports, func() { s.ReportStaged(r.ChangeID, nil) })
		}
		if p := e.Permit; p != nil && p.Change != "" {
			reports = append(reports, func() { s.ReportAdmissionClosed(p.Change, p.Attempt) })
		}
	}
	if err := ProcessReady(s.Instance, s.log, func() time.Duration { return 0 }, carryOut); err != nil {
		t.Fatal(err)
	}
	for _, report := range reports {
		report()
		s.process(t)
	}
}

func (s *soleMember) tick(t testing.TB, ticks int) {
	t.Helper()
	for range ticks {
		s.Tick()
		s.process(t)
	}
}

// newLeader is the leader of a new group of one.
func newLeader(t testing.TB) *soleMember {
	t.Helper()
	s := open(t, faultfs.New(1))
	if err := s.Bootstrap("g", "127.0.0.1:1", document(1), 0); err != nil {
		t.Fatal(err)
	}
	s.process(t)
	return s
}

func (s *soleMember) propose(t testing.TB, id string, base uint64, weight float64) Response {
	t.Helper()
	request := s.Propose(clusterstate.Change{ID: id, BaseRevision: base, Document: document(weight)}, false)
	s.process(t)
	return s.responses[request]
}

// What was acknowledged is there after any number of restarts, through snapshots.
func TestAcknowledgedChangesSurviveRestarts(t *testing.T) {
	s := newLeader(t)
	for n := range 40 {
		got := s.propose(t, "x"+string(rune('a'+n)), uint64(n+1), float64(n+2))
		if got.Err != nil || got.Outcome.Code != clusterstate.Accepted ||
			got.Outcome.Revision != uint64(n+2) {
			t.Fatalf("change %d: %+v", n, got)
		}
		if n%3 == 0 {
			s.disk.LosePower()
			s = open(t, s.disk)
			// It has not been elected again, but knows what it knew.
			if got := s.propose(t, "y", uint64(n+2), 0); !errors.Is(got.Err, ErrNoLeader) {
				t.Fatalf("without a leader: %+v", got)
			}
			s.tick(t, 25)
			if st := s.Status(); st.Role != RoleLeader || st.Revision != uint64(n+2) {
				t.Fatalf("after a restart: %+v", st)
			}
		}
	}
}

func TestHarmfulOperationsOnMembersAreRejected(t *testing.T) {
	s := newLeader(t)
	for want, op := range map[string]*schema.Operation{
		"the last instance with a vote can't be removed": {Kind: schema.Operation_REMOVE, Name: "n1"},
		`the group has no instance "n9"`:                 {Kind: schema.Operation_PROMOTE, Name: "n9"},
		"n1 has a vote already":                          {Kind: schema.Operation_PROMOTE, Name: "n1"},
		"n1 is at 127.0.0.1:1 already": {Kind: schema.Operation_ADD, Name: "n2",
			Address: "127.0.0.1:1"},
	} {
		request := s.Operate(op, 99)
		s.process(t)
		var rejected *RejectedError
		if got := s.responses[request].Err; !errors.As(got, &rejected) || got.Error() != want {
			t.Errorf("%v: %v", op.Kind, got)
		}
	}
	if err := s.Bootstrap("h", "127.0.0.1:1", document(1), 0); err == nil {
		t.Error("a group is made of a member of another")
	}
	if err := s.Join("h"); err == nil {
		t.Error("a member joins another group")
	}
}

// A proposal that nobody can read must not get into the log: it would stop every instance.
func TestUnreadableProposalIsRejected(t *testing.T) {
	s := newLeader(t)
	for _, e := range []*pb.Entry{{Data: []byte("x")}, {Type: pb.EntryConfChangeV2.Enum()}, {}, nil} {
		err := s.Step(&pb.Message{Type: pb.MsgProp.Enum(), From: proto.Uint64(78), To: proto.Uint64(77),
			Entries: []*pb.Entry{e}})
		if err == nil {
			t.Errorf("accepted: %v", e)
		}
		s.process(t)
	}
	if got := s.propose(t, "x", 1, 2); got.Outcome.Code != clusterstate.Accepted {
		t.Errorf("it goes on with %+v", got)
	}
}

// FuzzStep has any bytes come from another instance: an error or not, but the process goes on, and nothing
// that was committed is lost.
func FuzzStep(f *testing.F) {
	for _, m := range fuzzMessages() {
		b, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		s := newLeader(t)
		m := &pb.Message{}
		if proto.Unmarshal(b, m) != nil {
			return
		}
		_ = s.Step(m)
		s.process(t)
		s.tick(t, 3)
		if r := s.State().CurrentRevision(); r.Number < 1 {
			t.Errorf("revision %d remains", r.Number)
		}
		s.disk.LosePower()
		open(t, s.disk) // and what it wrote can be read
	})
}

// fuzzMessages are the seeds of FuzzStep.
func fuzzMessages() []*pb.Message {
	u := proto.Uint64
	from, to := u(78), u(77)
	return []*pb.Message{
		{Type: pb.MsgApp.Enum(), From: from, To: to, Term: u(9), LogTerm: u(1), Index: u(1),
			Entries: []*pb.Entry{
				{Index: u(2), Term: u(9), Type: pb.EntryNormal.Enum(), Data: []byte("x")},
			}, Commit: u(2)},
		{Type: pb.MsgHeartbeat.Enum(), From: from, To: to, Term: u(9), Commit: u(1 << 40)},
		{Type: pb.MsgSnap.Enum(), From: from, To: to, Term: u(9), Snapshot: &pb.Snapshot{Data: []byte("{}"),
			Metadata: &pb.SnapshotMetadata{Index: u(9), Term: u(9), ConfState: &pb.ConfState{}}}},
		{Type: pb.MsgProp.Enum(), From: from, To: to, Entries: []*pb.Entry{{Data: []byte("x")}}},
		{Type: pb.MsgProp.Enum(), From: from, To: to, Entries: []*pb.Entry{{
			Type: pb.EntryConfChangeV2.Enum(), Data: []byte("x")}}},
		{Type: pb.MsgHup.Enum(), From: from, To: to},
		{Type: pb.MsgReadIndex.Enum(), From: from, To: to, Entries: []*pb.Entry{{}}},
		{Type: pb.MsgAppResp.Enum(), From: from, To: to, Term: u(2), Index: u(1 << 50)},
	}
}

// A group that an older program has made takes no change while one of its members is not known to know
// staging, by its name; then it upgrades the format by itself.
func TestGroupWithOlderProgramTakesNoChange(t *testing.T) {
	s := newLeader(t)
	s.state.ApplyMembership([]clusterstate.Member{{ID: 88, Name: "old", Address: "127.0.0.1:8"}}, nil)
	s.state = inFirstFormat(t, s.state)
	s.tick(t, 12)
	got := s.propose(t, "x", 1, 5)
	if got.Err == nil || !strings.Contains(got.Err.Error(), "old: not known yet to run a program") {
		t.Fatalf("with an older program: %+v", got)
	}
	s.ObserveFormat(88, 1)
	got = s.propose(t, "x", 1, 5)
	if got.Err == nil || !strings.Contains(got.Err.Error(), "old: runs an older program") {
		t.Fatalf("with an older program that has reported: %+v", got)
	}
	if s.State().Format() != 1 || s.State().CurrentRevision().Number != 1 {
		t.Fatal("the group has changed all the same")
	}
	s.ObserveFormat(88, clusterstate.LatestFormat)
	s.tick(t, 12)
	if s.State().Format() != clusterstate.LatestFormat {
		t.Fatal("the group does not upgrade to the new format")
	}
	for _, x := range s.State().Rollout().List() {
		if !x.Open || !x.Unleased {
			t.Errorf("one that served before has %+v", x)
		}
	}
}

// inFirstFormat is a state as a program of the first format has it.
func inFirstFormat(t testing.TB, state *clusterstate.State) *clusterstate.State {
	t.Helper()
	encoded := strings.Replace(string(state.Encode()), fmt.Sprintf(`"format":%d`, clusterstate.LatestFormat),
		`"format":1`, 1)
	encoded = regexp.MustCompile(`,"sessions":\[.*?\],"epoch":\d+`).ReplaceAllString(encoded, "")
	old, err := clusterstate.Restore(clusterstate.Rules{}, []byte(encoded))
	if err != nil || old.Format() != 1 {
		t.Fatalf("%v: %s", err, encoded)
	}
	return old
}

// A request to an instance that is removed while the change takes hold gets its response all the same.
func TestRequestToRemovedInstanceGetsResponse(t *testing.T) {
	s := newLeader(t)
	s.state.Rollout().Sessions[88] = rollout.Session{Member: 88, Name: "n2", Epoch: 99, Open: true,
		Unleased: true}
	request := s.Propose(clusterstate.Change{ID: "x", BaseRevision: 1, Document: document(2)}, false)
	beyondTimeout := s.cfg.RequestTimeoutTicks + 2
	s.tick(t, beyondTimeout)
	if got, ok := s.responses[request]; ok {
		t.Fatalf("while it waits for n2: %+v", got)
	}
	s.state.ApplyMembership(nil, []uint64{77})
	s.tick(t, beyondTimeout)
	if got := s.responses[request]; !errors.Is(got.Err, ErrOutcomeUnknown) {
		t.Errorf("removed: %+v", got)
	}
}
