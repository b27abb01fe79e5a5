package frozen

import (
	"go.etcd.io/raft/v3/raftpb"

	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/schedule"
	"moorstack/internal/schema"
)

// taskCommand is an alias that keeps the entries below short.
type taskCommand = leasedtask.Command

// leaseEntries adds entries by which leases begin, are transferred, are released and expire.
func (l *logWriter) leaseEntries() {
	n1, n2 := leasedtask.Session(l.memberSession(77)), leasedtask.Session(l.memberSession(78))
	l.task(taskCommand{Kind: leasedtask.DeclareTasks, Term: term,
		Tasks: []string{"backup", "drill-1", "list", "roll"}})
	l.task(taskCommand{Kind: leasedtask.Assign, Term: term, Task: "list", Session: n1, Name: "n1",
		AtMS: 5000})
	l.task(taskCommand{Kind: leasedtask.Assign, Term: term, Task: "list", Session: n2, Name: "n2",
		AtMS: 5001})
	l.task(taskCommand{Kind: leasedtask.UpdateNote, Task: "list", FencingToken: 1, Note: []byte("note 1")})
	l.task(taskCommand{Kind: leasedtask.UpdateNote, Task: "list", FencingToken: 1, NoteRevision: 1,
		Note: []byte{}})
	l.task(taskCommand{Kind: leasedtask.UpdateNote, Task: "list", FencingToken: 1, NoteRevision: 1,
		Note: []byte("from a stale copy")})
	l.task(taskCommand{Kind: leasedtask.Transfer, ID: "op2", Task: "list", TransferTo: 78, Reason: "ada asks",
		Name: "ada"})
	l.task(taskCommand{Kind: leasedtask.Release, Task: "list", FencingToken: 1, Note: []byte("last"),
		Reason: "handed on", AtMS: 6000})
	l.task(taskCommand{Kind: leasedtask.Assign, Term: term, Task: "list", FencingToken: 1, Session: n2,
		Name: "n2", AtMS: 6001})
	l.task(taskCommand{Kind: leasedtask.Expire, Term: term, Task: "list", FencingToken: 2,
		Reason: "its lease ran out", AtMS: 7000})
	l.task(taskCommand{Kind: leasedtask.Assign, Term: term, Task: "drill-1", Session: n1, Name: "n1",
		AtMS: 7001})
	l.task(taskCommand{Kind: leasedtask.Release, Task: "drill-1", FencingToken: 3, Failed: true,
		Reason: "it failed", AtMS: 7002})
}

// operatorEntries adds entries by which operators pause, resume and transfer tasks, some of them invalid.
func (l *logWriter) operatorEntries() {
	n1, n2 := leasedtask.Session(l.memberSession(77)), leasedtask.Session(l.memberSession(78))
	l.task(taskCommand{Kind: leasedtask.Assign, Term: term, Task: "backup", Session: n2, Name: "n2",
		AtMS: 7003})
	l.task(taskCommand{Kind: leasedtask.UpdateNote, Task: "backup", FencingToken: 4, Note: []byte(
		`{"period":"2026-12-01T01:00:00Z","file":"agreed-20261201T010000Z.backup","sha256":"00ff"}`)})
	l.task(taskCommand{Kind: leasedtask.Pause, ID: "op3", Task: "backup", Name: "ada"})
	l.task(taskCommand{Kind: leasedtask.Pause, ID: "op4", Task: "list", Name: "ada"})
	l.task(taskCommand{Kind: leasedtask.Resume, ID: "op5", Task: "list", Name: "ada"})
	l.task(taskCommand{Kind: leasedtask.Resume, ID: "op6", Task: "list", Name: "ada"})
	l.task(taskCommand{Kind: leasedtask.Pause, ID: "op9", Task: "backup", Name: "bob"})
	l.task(taskCommand{Kind: leasedtask.Transfer, ID: "op10", Task: "backup", TransferTo: 77, Name: "bob"})
	l.task(taskCommand{Kind: leasedtask.Transfer, ID: "op11", Task: "list", Name: "bob"})
	l.task(taskCommand{Kind: leasedtask.Transfer, ID: "op12", Task: "sweep", Name: "bob"})
	l.task(taskCommand{Kind: leasedtask.Assign, Term: term, Task: "roll", Session: n1, Name: "n1",
		AtMS: 7004})
	l.task(taskCommand{Kind: leasedtask.Transfer, Task: "roll", FencingToken: 5,
		Reason: "it is about to end"})
}

func (l *logWriter) scheduleEntries() {
	s := l.state(l.t)
	version, now := s.Schedule().Policy().Version, int64(1_800_000_000)
	command := func(kind schedule.CommandKind, by placement.Session) schedule.Command {
		return schedule.Command{
			Kind:             kind,
			Session:          by,
			PolicyVersion:    version,
			ClusterTime:      now,
			ZoneRulesVersion: 0xabcdef0123456789,
		}
	}
	declare := command(schedule.DeclarePolicy, placement.Session{})
	declare.Term, declare.ExcludedMembers = term, map[uint64]string{79: "its clock is 3 s ahead"}
	l.schedule("declare", declare)
	now += 120
	var owners [3]placement.Session
	s = l.state(l.t)
	for n, x := range s.Schedule().Policy().Triggers {
		owners[n], _ = s.Schedule().Owner(placement.ShardOf(x.Name))
		c := command(schedule.IntendFirings, owners[n])
		c.Advances = []schedule.ShardAdvance{{Shard: placement.ShardOf(x.Name)}}
		for k := range int64(3) {
			at := now - 100 + 30*k
			c.Occurrences = append(
				c.Occurrences,
				schedule.DueOccurrence{Trigger: n, At: at, WallClock: at + 3600, Missed: int(2 - k),
					LocalTime: calendar.LocalTime(2_000_000 + 60*k)},
			)
		}
		l.schedule("intend of trigger "+x.Name, c)
	}
	l.schedule("intend on an old version", command(schedule.IntendFirings, owners[0]))
	settle := command(schedule.RecordResults, owners[0])
	settle.Numbers = []uint64{1, 2, 3}
	settle.Results = []schedule.Result{schedule.Succeeded, schedule.Failed, schedule.Released}
	l.schedule("settle", settle)
	resolve := command(schedule.ResolveOrphans, owners[0])
	resolve.Numbers, resolve.Results = []uint64{3}, []schedule.Result{schedule.Succeeded}
	l.schedule("resolve: taken over", resolve)
	settle = command(schedule.RecordResults, owners[1])
	settle.Numbers = []uint64{4, 5, 6}
	settle.Results = []schedule.Result{schedule.Rejected, schedule.Missed, schedule.Released}
	l.schedule("settle", settle)
	resolve = command(schedule.ResolveOrphans, owners[1])
	resolve.Numbers, resolve.Results = []uint64{6}, []schedule.Result{schedule.Unknown}
	l.schedule("resolve: given up", resolve)
	declare.ClusterTime, declare.ExpiredSessions = now, []placement.Session{owners[2]}
	l.schedule("declare, with a session that has ended", declare)
}

func (l *logWriter) endEntries() {
	l.command("set aside", &schema.Command{Kind: 7, Id: "op7", Member: 79})
	l.command("set aside, of a closed one", &schema.Command{Kind: 7, Id: "op13", Member: 79})
	l.command("withdraw, of another change", &schema.Command{Kind: 6, Id: "op14", Change: "c3"})
	l.command("lapse", &schema.Command{Kind: 2, Term: term, AtMs: 8000, Seats: []*schema.Seat{
		{Member: 79, Epoch: l.memberSession(79).Epoch}, {Member: 78, Epoch: l.memberSession(78).Epoch}}})
	l.members("drop n3", raftpb.ConfChangeRemoveNode, &schema.MembersChange{Change: "m3", Drop: []uint64{79}})
	l.command("open anew", &schema.Command{Kind: 1, Term: term, Member: 77, Name: "n1", Nonce: 5, AtMs: 9000})
	l.entry("empty, of a new leader", raftpb.EntryNormal, nil)
	l.change("change that stays pending", &schema.Change{Id: "c8", Base: 3, Author: "bob", Format: 7,
		Document: document(`{"duties":{"list":"off"}}`)})
}
