package frozen

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"moorstack/brain"
	"moorstack/internal/handover"
	"moorstack/internal/net"
)

// What a process of a node writes to the one that takes its place is what it was, line by line.
func TestUpgradeMessagesAreWrittenAsBefore(t *testing.T) {
	var out []byte
	for _, m := range upgradeMessages() {
		out = m.Append(out)
	}
	golden(t, "handover.txt", string(out))
}

// What a process of before wrote is read whole: written once more it is the same.
func TestUpgradeMessagesOfBeforeAreRead(t *testing.T) {
	var got []byte
	want := readText(t, "handover.txt")
	for line := range strings.Lines(want) {
		m, err := handover.Parse([]byte(strings.TrimSuffix(line, "\n")))
		if err != nil {
			t.Fatalf("%s: %v", line, err)
		}
		got = m.Append(got)
	}
	if string(got) != want {
		t.Errorf("what was read, written again:\n%s\nwant\n%s", got, want)
	}
	for _, bad := range []string{`{"t":"hello","v":2}`, `{"t":"state","v":1}`, `{"t":"ban"}`, `{"t":"job"}`,
		`{"t":`, `{"t":"take","n":"x"}`} {
		if m, err := handover.Parse([]byte(bad)); err == nil {
			t.Errorf("%s was read as %+v", bad, m)
		}
	}
}

// A process from before some fields were there says less, and what it says is taken.
func TestUpgradeStateOfAnOlderProcessIsRead(t *testing.T) {
	const older = `{"t":"state","v":1,"state":{"generation":7,"instances":[],"discovery":"d","written":"w",` +
		`"known":["a"],"bans":[],"module":{"Loads":[[1,2]],"Tallies":null,"Slots":[3],"Paces":[1],"Usual":[0.5],` +
		`"Mean":0.5,"Ratio":1,"Arrived":9,"Watched":4,"Wait":0,"Crowd":0,"WaitT":0,"Surveyed":0,` +
		`"Allowances":null,"Workers":{"5":{"Others":1,"Pace":2,"Wait":0,"Ill":0.25,"WaitT":0,"IllT":0,` +
		`"Since":0,"Sent":null,"Owed":true}}}}}`
	m, err := handover.Parse([]byte(older))
	if err != nil {
		t.Fatal(err)
	}
	golden(t, "handover-older.json", indented(t, m.Append(nil)))
}

// The processes of a node meet at the socket that those of before look for.
func TestUpgradeSocketHasItsName(t *testing.T) {
	dir := t.TempDir()
	loop, err := net.New()
	if err != nil {
		t.Fatal(err)
	}
	l, err := handover.At(dir, "127.0.0.1:8080").Listen(loop, func(*net.Conn) {})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	entries, err := os.ReadDir(dir)
	if err != nil || len(entries) != 1 || entries[0].Name() != "moorstack-1cf0caae52b457cc.sock" {
		t.Errorf("the folder holds %v, %v", entries, err)
	}
}

// upgradeMessages has a message of each type, with every field that it may have.
func upgradeMessages() []handover.Message {
	return []handover.Message{
		{Type: handover.IsHello, Version: handover.Version, Name: "n1", Listen: "127.0.0.1:8080"},
		{Type: handover.IsState, Version: handover.Version, State: upgradeState()},
		{Type: handover.IsRefuse, Version: handover.Version, Why: "the process is handed over"},
		{Type: handover.IsTake},
		{Type: handover.IsTaken, IDs: []string{"a", "b"}},
		{Type: handover.IsEmpty},
		{Type: handover.IsCall, Number: 7, Body: []byte("call\n")},
		{Type: handover.IsHeard, Number: 7},
		{Type: handover.IsBegun, IDs: []string{"c"}},
		{Type: handover.IsHeld, Held: map[string]float64{"w1": 1.5, "w2": 2}},
		{Type: handover.IsBan, Ban: &handover.Ban{Name: "w1", Out: true, Since: 5 * time.Second}},
		{Type: handover.IsBan, Ban: &handover.Ban{Name: "w1", Since: 5 * time.Second, Ended: 9 * time.Second}},
		{Type: handover.IsJob, Job: &handover.Job{ID: "a", Class: 3, Until: time.Minute, Left: time.Second,
			Hops: []string{"w1", "w2"}}},
	}
}

func upgradeState() *handover.State {
	return &handover.State{Generation: 12,
		Instances: json.RawMessage(`[{"id":"w1","address":"127.0.0.1:9001"}]`),
		Discovery: "127.0.0.1:7000", Written: "127.0.0.1:7001", Known: []string{"w1", "w2"},
		Bans: []handover.Ban{{Name: "w2", Out: true, Since: time.Second},
			{Name: "w1", Since: time.Second, Ended: 2 * time.Second}},
		Now: time.Hour, Starts: map[string]handover.Start{"w1": {Said: 3 * time.Second, At: 4 * time.Second}},
		Module: brain.Memory{Loads: [][2]float64{{1.25, 2}, {3, 4}}, Full: [][2]float64{{0.5, 1}, {0, 0}},
			Tallies: [][2]float64{{10, 9}}, Slots: []float64{4, 8}, Paces: []float64{1, 1.5}, Usual: []float64{0.1},
			Mean: 0.2, Ratio: 1.1, Arrived: 100, Efforts: 90, Watched: 30, Wait: 0.01, Crowd: 0.02,
			WaitT: 50 * time.Minute, Surveyed: 51 * time.Minute,
			Allowances: []brain.Allowed{{Left: 3, Asked: 4, At: 52 * time.Minute}},
			Workers: map[brain.WorkerID]brain.WorkerMemory{1: {Others: 1, Pace: 0.9, Wait: 0.3, Ill: 0.25,
				WaitT: 53 * time.Minute, IllT: 54 * time.Minute, Since: 55 * time.Minute,
				Sent: []brain.Spent{{At: 56 * time.Minute, Work: 0.75}}, Owed: true}, 2: {Pace: 1}}}}
}
