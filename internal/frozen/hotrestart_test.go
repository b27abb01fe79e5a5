package frozen

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"moorstack/balancer"
	"moorstack/internal/frozen/golden"
	"moorstack/internal/netio/eventloop"
	"moorstack/internal/proxy/hotrestart"
)

// The encoding of the messages that a process sends to its successor is unchanged, line by line.
func TestUpgradeMessagesAreWrittenAsBefore(t *testing.T) {
	var out []byte
	for _, m := range upgradeMessages() {
		out = m.Append(out)
	}
	golden.Compare(t, "handover.txt", string(out))
}

// Messages of an earlier version are decoded without loss: encoding them again gives the same text. Malformed
// messages are rejected.
func TestUpgradeMessagesOfBeforeAreRead(t *testing.T) {
	var got []byte
	want := golden.Read(t, "handover.txt")
	for line := range strings.Lines(want) {
		m, err := hotrestart.ParseMessage([]byte(strings.TrimSuffix(line, "\n")))
		if err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		got = m.Append(got)
	}
	if string(got) != want {
		t.Errorf("decoded and encoded again, got\n%s\nwant\n%s", got, want)
	}
	for _, bad := range []string{`{"t":"hello","v":2}`, `{"t":"state","v":1}`, `{"t":"ban"}`, `{"t":"job"}`,
		`{"t":`, `{"t":"take","n":"x"}`} {
		if m, err := hotrestart.ParseMessage([]byte(bad)); err == nil {
			t.Errorf("%s was decoded as %+v, want an error", bad, m)
		}
	}
}

// The state message of an earlier version, which lacks newer fields, is accepted.
func TestUpgradeStateOfAnOlderProcessIsRead(t *testing.T) {
	const older = `{"t":"state","v":1,"state":{"generation":7,"instances":[],"discovery":"d","written":"w",` +
		`"known":["a"],"bans":[],"module":{"Loads":[[1,2]],"Tallies":null,"Slots":[3],"Paces":[1],` +
		`"Usual":[0.5],` +
		`"Mean":0.5,"Ratio":1,"Arrived":9,"Watched":4,"Wait":0,"Crowd":0,"WaitT":0,"Surveyed":0,` +
		`"Allowances":null,"Workers":{"5":{"Others":1,"Pace":2,"Wait":0,"Ill":0.25,"WaitT":0,"IllT":0,` +
		`"Since":0,"Sent":null,"Owed":true}}}}}`
	m, err := hotrestart.ParseMessage([]byte(older))
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "handover-older.json", indentJSON(t, m.Append(nil)))
}

// The processes of a node connect to each other at a socket whose name is the same in all versions.
func TestUpgradeSocketHasItsName(t *testing.T) {
	dir := t.TempDir()
	loop, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	l, err := hotrestart.SocketFor(dir, "127.0.0.1:8080").Listen(loop, func(*eventloop.Conn) {})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	entries, err := os.ReadDir(dir)
	if err != nil || len(entries) != 1 || entries[0].Name() != "moorstack-1cf0caae52b457cc.sock" {
		t.Errorf("got the folder entries %v, %v; want moorstack-1cf0caae52b457cc.sock", entries, err)
	}
}

// upgradeMessages returns a message of each type with all of its fields set.
func upgradeMessages() []hotrestart.Message {
	return []hotrestart.Message{
		{
			Type:          hotrestart.TypeHello,
			Version:       hotrestart.Version,
			Node:          "n1",
			ListenAddress: "127.0.0.1:8080",
		},
		{Type: hotrestart.TypeState, Version: hotrestart.Version, State: upgradeState()},
		{Type: hotrestart.TypeRejected, Version: hotrestart.Version, Reason: "the process is handed over"},
		{Type: hotrestart.TypeChildServes},
		{Type: hotrestart.TypeParentReleased, RequestIDs: []string{"a", "b"}},
		{Type: hotrestart.TypeParentDrained},
		{Type: hotrestart.TypeCallBack, CallBackNumber: 7, Body: []byte("call\n")},
		{Type: hotrestart.TypeCallBackHandled, CallBackNumber: 7},
		{Type: hotrestart.TypeRequestsBegun, RequestIDs: []string{"c"}},
		{Type: hotrestart.TypeInFlight, InFlight: map[string]float64{"w1": 1.5, "w2": 2}},
		{
			Type:        hotrestart.TypeMaintenance,
			Maintenance: &hotrestart.Maintenance{Endpoint: "w1", Active: true, StartedAt: 5 * time.Second},
		},
		{
			Type: hotrestart.TypeMaintenance,
			Maintenance: &hotrestart.Maintenance{
				Endpoint:  "w1",
				StartedAt: 5 * time.Second,
				EndedAt:   9 * time.Second,
			},
		},
		{
			Type: hotrestart.TypeMigratedRequest,
			Request: &hotrestart.MigratedRequest{
				ID:        "a",
				Class:     3,
				Deadline:  time.Minute,
				Timeout:   time.Second,
				Endpoints: []string{"w1", "w2"},
			},
		},
	}
}

func upgradeState() *hotrestart.State {
	return &hotrestart.State{Generation: 12,
		Instances:        json.RawMessage(`[{"id":"w1","address":"127.0.0.1:9001"}]`),
		DiscoveryAddress: "127.0.0.1:7000", ConfiguredDiscovery: "127.0.0.1:7001",
		KnownEndpoints: []string{"w1", "w2"},
		Maintenance: []hotrestart.Maintenance{{Endpoint: "w2", Active: true, StartedAt: time.Second},
			{Endpoint: "w1", StartedAt: time.Second, EndedAt: 2 * time.Second}},
		SentAt: time.Hour, WorkerStarts: map[string]hotrestart.WorkerStart{"w1": {Reported: 3 * time.Second,
			At: 4 * time.Second}},
		Balancer: balancer.LearnedState{
			KindLoads:     [][2]float64{{1.25, 2}, {3, 4}},
			FullKindLoads: [][2]float64{{0.5, 1}, {0, 0}},
			ClassTallies: [][2]float64{
				{10, 9},
			},
			KindSlots:          []float64{4, 8},
			KindRunTimeFactors: []float64{1, 1.5},
			ClassRunTimes:      []float64{0.1},
			MeanRunTime:        0.2,
			HintRatio:          1.1,
			Arrivals:           100,
			ArrivedWork:        90,
			ObservedSeconds:    30,
			RecentWait:         0.01,
			WaitingShare:       0.02,
			RecentWaitAt:       50 * time.Minute,
			AveragedAt:         51 * time.Minute,
			Quotas:             []balancer.TenantQuota{{Tokens: 3, Offered: 4, UpdatedAt: 52 * time.Minute}},
			Workers: map[balancer.WorkerID]balancer.WorkerRecord{
				1: {OthersInFlight: 1, RunTimeFactor: 0.9, LastWait: 0.3, FailureScore: 0.25,
					LastWaitAt: 53 * time.Minute, FailureScoreAt: 54 * time.Minute,
					StartedAt:         55 * time.Minute,
					SlowStartSent:     []balancer.SentWork{{At: 56 * time.Minute, Work: 0.75}},
					NeedsTrialRequest: true},
				2: {RunTimeFactor: 1},
			},
		}}
}
