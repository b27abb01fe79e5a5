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

// soleMember is an instance in a group of one, with its disk and the responses that it has given.
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

// process processes the outputs of the instance, and reports to it in place of the fronts.
func (s *soleMember) process(t testing.TB) {
	t.Helper()
	var reports []func() // of the fronts
	handleEffects := func(e Effects) {
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
	if err := ProcessReady(s.Instance, s.log, func() time.Duration { return 0 }, handleEffects); err != nil {
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

// newLeader returns the leader and only member of a new group.
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

// Acknowledged changes survive repeated power failures and restarts, including those after a snapshot.
func TestAcknowledgedChangesSurviveRestarts(t *testing.T) {
	s := newLeader(t)
	for n := range 40 {
		got := s.propose(t, "x"+string(rune('a'+n)), uint64(n+1), float64(n+2))
		if got.Err != nil || got.Outcome.Code != clusterstate.Accepted ||
			got.Outcome.Revision != uint64(n+2) {
			t.Fatalf("change %d: %+v, want it accepted as the next revision", n, got)
		}
		if n%3 == 0 {
			s.disk.LosePower()
			s = open(t, s.disk)
			// It has recovered its state, but is not the leader again yet.
			if got := s.propose(t, "y", uint64(n+2), 0); !errors.Is(got.Err, ErrNoLeader) {
				t.Fatalf("response without a leader: %+v, want ErrNoLeader", got)
			}
			s.tick(t, 25)
			if st := s.Status(); st.Role != RoleLeader || st.Revision != uint64(n+2) {
				t.Fatalf("status after a restart: %+v, want a leader at the last accepted revision", st)
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
			t.Errorf("%v: unexpected error %v", op.Kind, got)
		}
	}
	if err := s.Bootstrap("h", "127.0.0.1:1", document(1), 0); err == nil {
		t.Error("a member of one group bootstraps another")
	}
	if err := s.Join("h"); err == nil {
		t.Error("a member of one group joins another")
	}
}

// A forwarded proposal that can't be decoded must not be appended to the log: every instance would halt when
// it applies the entry.
func TestUnreadableProposalIsRejected(t *testing.T) {
	s := newLeader(t)
	for _, e := range []*pb.Entry{{Data: []byte("x")}, {Type: pb.EntryConfChangeV2.Enum()}, {}, nil} {
		err := s.Step(&pb.Message{Type: pb.MsgProp.Enum(), From: proto.Uint64(78), To: proto.Uint64(77),
			Entries: []*pb.Entry{e}})
		if err == nil {
			t.Errorf("proposal of entry %v is accepted", e)
		}
		s.process(t)
	}
	if got := s.propose(t, "x", 1, 2); got.Outcome.Code != clusterstate.Accepted {
		t.Errorf("a valid proposal afterwards: %+v, want it accepted", got)
	}
}

// FuzzStep passes arbitrary messages to an instance. Whether they are rejected or not, the process must
// survive, and nothing that was committed may be lost.
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
			t.Errorf("revision is %d after the message, want at least 1", r.Number)
		}
		s.disk.LosePower()
		open(t, s.disk) // fails the test if the written records can't be read
	})
}

// fuzzMessages returns the seed corpus of FuzzStep.
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

// A group created by an older program rejects changes, and names the member, while a member has not reported
// that it supports staging. Once all members have reported that, the group upgrades the log format.
func TestGroupWithOlderProgramTakesNoChange(t *testing.T) {
	s := newLeader(t)
	s.state.ApplyMembership([]clusterstate.Member{{ID: 88, Name: "old", Address: "127.0.0.1:8"}}, nil)
	s.state = inFirstFormat(t, s.state)
	s.tick(t, 12)
	got := s.propose(t, "x", 1, 5)
	if got.Err == nil || !strings.Contains(got.Err.Error(), "old: has not reported yet that its program") {
		t.Fatalf("before the older program has reported: %+v", got)
	}
	s.ObserveFormat(88, 1)
	got = s.propose(t, "x", 1, 5)
	if got.Err == nil || !strings.Contains(got.Err.Error(), "old: runs an older program") {
		t.Fatalf("after the older program has reported: %+v", got)
	}
	if s.State().Format() != 1 || s.State().CurrentRevision().Number != 1 {
		t.Fatal("the format or the revision is not 1 after the changes were rejected")
	}
	s.ObserveFormat(88, clusterstate.LatestFormat)
	s.tick(t, 12)
	if s.State().Format() != clusterstate.LatestFormat {
		t.Fatal("the group does not upgrade to the latest format after all members have reported it")
	}
	for _, x := range s.State().Rollout().List() {
		if !x.Open || !x.Unleased {
			t.Errorf("session of a member from before the upgrade: %+v, want it open and unleased", x)
		}
	}
}

// inFirstFormat converts a state to the first format.
func inFirstFormat(t testing.TB, state *clusterstate.State) *clusterstate.State {
	t.Helper()
	encoded := strings.Replace(string(state.Encode()), fmt.Sprintf(`"format":%d`, clusterstate.LatestFormat),
		`"format":1`, 1)
	encoded = regexp.MustCompile(`,"sessions":\[.*?\],"epoch":\d+`).ReplaceAllString(encoded, "")
	old, err := clusterstate.Restore(clusterstate.Rules{}, []byte(encoded))
	if err != nil || old.Format() != 1 {
		t.Fatalf("restore a state in the first format: %v\n%s", err, encoded)
	}
	return old
}

// A pending change extends the deadline of its request. An instance that is removed meanwhile never learns
// the outcome, so its request must still time out.
func TestRequestToRemovedInstanceGetsResponse(t *testing.T) {
	s := newLeader(t)
	s.state.Rollout().Sessions[88] = rollout.Session{Member: 88, Name: "n2", Epoch: 99, Open: true,
		Unleased: true}
	request := s.Propose(clusterstate.Change{ID: "x", BaseRevision: 1, Document: document(2)}, false)
	beyondTimeout := s.cfg.RequestTimeoutTicks + 2
	s.tick(t, beyondTimeout)
	if got, ok := s.responses[request]; ok {
		t.Fatalf("response while the change waits for n2: %+v, want none", got)
	}
	s.state.ApplyMembership(nil, []uint64{77})
	s.tick(t, beyondTimeout)
	if got := s.responses[request]; !errors.Is(got.Err, ErrOutcomeUnknown) {
		t.Errorf("response after the removal: %+v, want ErrOutcomeUnknown", got)
	}
}
