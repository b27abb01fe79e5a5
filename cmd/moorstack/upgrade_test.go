package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"moorstack/internal/proxy/hotrestart"
)

// One process replaces the other under load, twice: every client gets exactly one response, no connection is
// refused or reset, no job runs twice, and maintenance is kept.
func TestUpgradeUnderLoad(t *testing.T) { upgradeUnderLoad(t, program, program) }

// Under load, a process of the current program and one of the program before renaming replace each other,
// twice in each direction.
func TestUpgradeAcrossVersionsUnderLoad(t *testing.T) {
	dir := t.TempDir()
	buildCommit(t, must(filepath.Abs("../..")), commitBeforeRenaming, dir, "older")
	older := filepath.Join(dir, "older")
	upgradeUnderLoad(t, older, program, older, program)
}

// upgradeUnderLoad replaces the node's process under load by one of each program in turn.
func upgradeUnderLoad(t *testing.T, programs ...string) {
	t.Helper()
	u := startUpgradableNode(t, 3)
	maintained := u.workers[2]
	u.expectReply("ACK", "maint-on "+maintained.name+"\n")
	callsBefore := maintained.callCount()
	u.startClients(40)
	for _, next := range programs {
		u.sleepUpTo(400)
		old := u.cmd
		cmd, admin := u.startProgram(next)
		eventually(t, "the new process is ready", func() bool { return isReady(admin) })
		if isReady(u.admin) {
			t.Error("both processes are ready")
		}
		u.sleepUpTo(100)
		check(t, old.Process.Signal(syscall.SIGTERM))
		check(t, old.Wait())
		u.cmd, u.admin = cmd, admin
	}
	u.waitServing("the new process continues to serve")
	if s := u.metrics(); s.Ejected != 1 || s.Discovered != 3 {
		t.Errorf("metrics of the new process: %+v", s)
	}
	u.stopClients()
	if u.unanswered.Load() > 0 || maintained.callCount() != callsBefore {
		t.Errorf("%d requests were lost, the worker in maintenance got %d jobs", u.unanswered.Load(),
			maintained.callCount()-callsBefore)
	}
	t.Logf("%d jobs served, %d sent again on a new connection", u.served.Load(), u.resent.Load())
	u.checkNoJobRanTwice()
}

// The new process is killed at a random time before the old one gets SIGTERM: the old one continues to serve.
func TestUpgradeWhoseNewProcessDies(t *testing.T) {
	u := startUpgradableNode(t, 2)
	u.killed = true
	u.startClients(20)
	for _, maxMillis := range []int{20, 80, 400} {
		cmd, _ := u.startProcess()
		u.sleepUpTo(maxMillis)
		check(t, cmd.Process.Kill())
		_ = cmd.Wait()
		u.waitServing("the old process continues to serve")
		u.expectReply("ACK", "status\n")
	}
	cmd, admin := u.startProcess()
	eventually(t, "a later process is ready", func() bool { return isReady(admin) })
	check(t, u.cmd.Process.Kill()) // after the new one is ready
	_ = u.cmd.Wait()
	u.cmd, u.admin = cmd, admin
	u.waitServing("the new process continues to serve")
	u.stopClients()
	u.checkNoJobRanTwice()
}

// The old process is killed at a random time during the hot restart: the new one serves with the state that
// it has received by then.
func TestUpgradeWhoseOldProcessDies(t *testing.T) {
	u := startUpgradableNode(t, 2)
	u.killed = true
	u.startClients(20)
	for _, maxMillis := range []int{5, 20, 40, 80} {
		cmd, admin := u.startProcess()
		u.sleepUpTo(maxMillis)
		check(t, u.cmd.Process.Kill())
		_ = u.cmd.Wait()
		u.cmd, u.admin = cmd, admin
		eventually(t, "the new process is ready", func() bool { return isReady(admin) })
		u.waitServing("the new process continues to serve")
	}
	u.stopClients()
	u.checkNoJobRanTwice()
}

// A third process waits until the hot restart between the first two is complete, and then takes over from the
// second. When it did not wait, it served at a separate socket, and call-backs that it accepted were lost.
func TestThirdProcessWaitsForAnUpgrade(t *testing.T) {
	u := startUpgradableNode(t, 2)
	u.startClients(10)
	second, admin := u.startProcess()
	third, other := u.startProcess()
	eventually(t, "one of the new processes is ready", func() bool {
		if isReady(other) { // the third process may have been first
			second, third, admin, other = third, second, other, admin
		}
		return isReady(admin)
	})
	check(t, u.cmd.Process.Signal(syscall.SIGTERM))
	check(t, u.cmd.Wait())
	eventually(t, "the other new process is ready", func() bool { return isReady(other) })
	check(t, second.Process.Signal(syscall.SIGTERM))
	check(t, second.Wait())
	u.cmd, u.admin = third, other
	u.waitServing("the last process continues to serve")
	u.stopClients()
	if u.unanswered.Load() > 0 {
		t.Errorf("%d requests were lost", u.unanswered.Load())
	}
	u.checkNoJobRanTwice()
}

// A socket that is left at the path for upgrades, or a process there that speaks another protocol, does not
// keep a node from starting in bounded time.
func TestStartBesideForeignUpgradeSocket(t *testing.T) {
	for name, foreign := range map[string]func(net.Conn){
		"silent":          func(net.Conn) {},
		"incomplete":      func(c net.Conn) { _, _ = io.WriteString(c, `{"t":"state","v":1,"st`) },
		"another version": func(c net.Conn) { _, _ = io.WriteString(c, `{"t":"state","v":99}`+"\n") },
		"binary":          func(c net.Conn) { _, _ = io.WriteString(c, "\x00\xff\n") },
		"disconnects":     func(c net.Conn) { c.Close() },
		"passes no socket": func(c net.Conn) {
			_, _ = io.WriteString(c, `{"t":"state","v":1,"state":{"instances":[]}}`+"\n")
		},
		"always busy": func(c net.Conn) {
			_, _ = io.WriteString(c, `{"t":"refuse","v":1,"why":"busy"}`+"\n")
			c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			t.Setenv("TMPDIR", dir)
			o := startNodeWithAdmin(t, 1, completeJob)
			sockets, err := filepath.Glob(filepath.Join(dir, "moorstack-*.sock"))
			if err != nil || len(sockets) != 1 {
				t.Fatalf("sockets for upgrades: %q, %v, want one", sockets, err)
			}
			check(t, o.cmd.Process.Kill()) // its socket stays
			_ = o.cmd.Wait()
			check(t, os.Remove(sockets[0]))
			l, err := net.Listen("unix", sockets[0])
			check(t, err)
			defer l.Close()
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						_, _ = bufio.NewReader(c).ReadString('\n')
						foreign(c)
						_, _ = io.Copy(io.Discard, c)
					}()
				}
			}()
			u := &upgradeFixture{adminFixture: o}
			began := time.Now()
			cmd, admin := u.startProcess()
			eventually(t, "the node is ready", func() bool { return isReady(admin) })
			if took := time.Since(began); took > 5800*time.Millisecond {
				t.Errorf("the start took %v, limit 6s", took)
			}
			// Call-backs for the other process's jobs arrive here, too.
			if status := o.callBack("unknown", "s-0000", "done", "x"); status != 503 {
				t.Errorf("a call-back for an unknown job was answered %d, want 503", status)
			}
			o.dial().send(jobRequest("a", "quote", "4000m", "x")).expectResponse(200, "did x")
			check(t, cmd.Process.Signal(syscall.SIGTERM))
			check(t, cmd.Wait())
		})
	}
}

// The new process polls discovery at the address that a reload gave the old one, not at the one in the old
// one's environment; and the old process ends after answering a request that had arrived in part.
func TestUpgradeKeepsReloadedDiscovery(t *testing.T) {
	u := startUpgradableNode(t, 1)
	<-u.watches
	var polls atomic.Int64
	moved := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		polls.Add(1)
		rw.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(moved.Close)
	t.Cleanup(moved.CloseClientConnections)
	var config map[string]any
	check(t, json.Unmarshal([]byte(u.config), &config))
	config["discovery"] = strings.TrimPrefix(moved.URL, "http://")
	text, err := json.Marshal(config)
	check(t, err)
	u.reload(string(text))
	eventually(t, "the old process polls the new address", func() bool { return polls.Load() == 1 })
	request := jobRequest("half", "quote", "4000m", "x")
	half, sent := u.dial(), 0
	sendByte := func() { half.send(request[sent : sent+1]); sent++ }
	sendByte()
	cmd, admin := u.startProcess()
	eventually(t, "the new process polls the new address", func() bool { return polls.Load() == 2 })
	eventually(t, "the new process is ready", func() bool {
		sendByte()
		time.Sleep(100 * time.Millisecond)
		return isReady(admin)
	})
	check(t, u.cmd.Process.Signal(syscall.SIGTERM))
	time.Sleep(100 * time.Millisecond)
	half.send(request[sent:]).expectResponse(200, "did x")
	check(t, u.cmd.Wait())
	u.cmd = cmd
}

// During an upgrade, a request ID that is in flight at one process is rejected at the other, a call-back that
// either accepts reaches the process that made the attempt, and an operator's call at one takes effect at
// both.
func TestTwoProcessesAreOneNodeDuringAnUpgrade(t *testing.T) {
	dir := t.TempDir()
	t.Setenv("TMPDIR", dir)
	held := make(chan workerCall, 4)
	o := startNodeWithAdmin(t, 2, func(_ int, s workerCall, rw http.ResponseWriter) {
		rw.WriteHeader(202)
		held <- s
	})
	u := &upgradeFixture{adminFixture: o}
	kept := o.dial() // a worker's connection, which stays with the old process
	event := func(c *client, s workerCall, status int) {
		t.Helper()
		body := fmt.Sprintf(`{"id":%q,"from":%q,"state":"done","result":"did"}`, s.id, s.worker.name)
		c.send(fmt.Sprintf("POST /v1/job-events HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
		c.expectResponse(status, "")
	}
	event(kept, workerCall{id: "none", worker: o.workers[0]}, 204)
	first := o.dial().send(jobRequest("first", "book", "9000m", "x"))
	atOld := <-held
	cmd, admin := u.startProcess()
	eventually(t, "the new process serves", func() bool {
		return strings.Contains(adminCall(t, o.admin, "status\n"), "taken this one's place")
	})
	o.dial().send(jobRequest("first", "book", "9000m", "x")).expectResponse(409, "")
	second := o.dial().send(jobRequest("second", "book", "9000m", "x"))
	atNew := <-held

	if got := adminCall(t, admin, "maint-on "+o.workers[0].name+"\n"); !strings.HasPrefix(got, "ACK") {
		t.Fatal(got)
	}
	eventually(t, "the old process applies the maintenance", func() bool { return o.metrics().Ejected == 1 })

	event(o.dial(), atOld, 204) // accepted by the new process
	first.expectResponse(200, "did")
	event(kept, atNew, 204) // accepted by the old process
	second.expectResponse(200, "did")
	event(kept, atNew, 204) // repeated for a job that neither process knows any more
	check(t, o.cmd.Process.Signal(syscall.SIGTERM))
	check(t, o.cmd.Wait())
	o.cmd = cmd
}

// A job that runs for longer than the old process may take to end continues at the new one, with its client's
// connection: its result, its failure and its client's disconnect are handled, also after a second upgrade.
func TestUpgradeMigratesOpenJobs(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	held := make(chan workerCall, 4)
	o := startNodeWithAdmin(t, 2, func(_ int, s workerCall, rw http.ResponseWriter) {
		rw.WriteHeader(202)
		held <- s
	})
	u := &upgradeFixture{adminFixture: o}
	jobs, calls := map[string]*client{}, map[string]workerCall{}
	for _, id := range []string{"done", "fails", "leaves", "done-late"} {
		jobs[id] = o.dial().send(jobRequest(id, "book", "90000m", "x"))
		calls[id] = <-held
	}
	replace := func() {
		t.Helper()
		cmd, admin := u.startProcess()
		eventually(t, "the new process is ready", func() bool { return isReady(admin) })
		check(t, o.cmd.Process.Signal(syscall.SIGTERM))
		began := time.Now()
		check(t, o.cmd.Wait())
		if took := time.Since(began); took > 3500*time.Millisecond {
			t.Errorf("the old process took %v to end", took)
		}
		o.cmd, o.admin = cmd, admin
	}
	callBack := func(id, state string) {
		t.Helper()
		if status := o.callBack(id, calls[id].worker.name, state, "did"); status != 204 {
			t.Errorf("the call-back of %s was answered %d", id, status)
		}
	}
	replace()
	if s := o.metrics(); s.Outstanding != 4 {
		t.Fatalf("metrics of the new process: %+v", s)
	}
	callBack("done", "done")
	jobs["done"].expectResponse(200, "did")
	callBack("done", "done") // a repeated call-back
	callBack("fails", "lost")
	jobs["fails"].expectResponse(502, "")
	jobs["leaves"].Close()
	eventually(t, "the job of a disconnected client is cancelled",
		func() bool { return o.callCount("DELETE") == 1 })
	o.dial().send(jobRequest("done-late", "book", "90000m", "x")).expectResponse(409, "")
	replace()
	callBack("done-late", "done")
	jobs["done-late"].expectResponse(200, "did")
	if s := o.metrics(); s.Outstanding != 0 || s.Results["book"].Succeeded != 1 {
		t.Errorf("metrics of the last process: %+v", s)
	}
	if n := o.callCount("POST"); n != 4 {
		t.Errorf("the workers got %d attempts of 4 jobs", n)
	}
}

// Guards against requests that are lost with the connection on which they migrate: the new process is held up
// while the old one migrates its requests and ends, and then first writes to the connection, which fails.
func TestUpgradeMigratesToAProcessThatIsHeldUp(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	held := make(chan workerCall, 4)
	o := startNodeWithAdmin(t, 2, func(_ int, s workerCall, rw http.ResponseWriter) {
		rw.WriteHeader(202)
		held <- s
	})
	jobs, calls := map[string]*client{}, map[string]workerCall{}
	submit := func(c *client, id string) {
		jobs[id] = c.send(jobRequest(id, "book", "60000m", "x"))
		calls[id] = <-held
	}
	finish := func(id string) {
		t.Helper()
		if status := o.callBack(id, calls[id].worker.name, "done", "did "+id); status != 204 {
			t.Errorf("the call-back of %s was answered %d", id, status)
		}
		jobs[id].expectResponse(200, "did "+id)
	}
	for _, id := range []string{"one", "two", "three"} {
		submit(o.dial(), id)
	}
	next, admin := (&upgradeFixture{adminFixture: o}).startProcess()
	eventually(t, "the new process is ready", func() bool { return isReady(admin) })
	kept := o.dial()
	submit(kept, "warm-up")
	finish("warm-up")
	check(t, o.cmd.Process.Signal(syscall.SIGTERM))
	check(t, next.Process.Signal(syscall.SIGSTOP))
	// Arrives before the migrated requests. The new process reports its beginning to the old one.
	jobs["new"] = kept.send(jobRequest("new", "book", "60000m", "x"))
	check(t, o.cmd.Wait())
	check(t, next.Process.Signal(syscall.SIGCONT))
	o.cmd, o.admin = next, admin
	calls["new"] = <-held
	for _, id := range []string{"new", "one", "two", "three"} {
		finish(id)
	}
}

// Guards against a result that is dropped while its request migrates: the new process is held up with the
// worker's call-back unread, and forwards it to the old one, which has migrated the request meanwhile.
func TestUpgradeWithACallBackThatCrossesTheMigration(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	held := make(chan workerCall, 1)
	o := startNodeWithAdmin(t, 1, func(_ int, s workerCall, rw http.ResponseWriter) {
		rw.WriteHeader(202)
		held <- s
	})
	event := func(id string) string {
		body := fmt.Sprintf(`{"id":%q,"from":%q,"state":"done","result":"did"}`, id, o.workers[0].name)
		return fmt.Sprintf("POST /v1/job-events HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	toOld := o.dial().send(event("unknown")) // a worker's connection to the old process
	toOld.expectResponse(204, "")
	job := o.dial().send(jobRequest("crosses", "book", "20000m", "x"))
	<-held
	next, admin := (&upgradeFixture{adminFixture: o}).startProcess()
	eventually(t, "the new process is ready", func() bool { return isReady(admin) })
	toNew := o.dial().send(event("unknown"))
	toNew.expectResponse(204, "")
	check(t, o.cmd.Process.Signal(syscall.SIGTERM))
	migration := time.Now().Add(hotrestart.MigrateAfter)
	time.Sleep(time.Until(migration.Add(-300 * time.Millisecond)))
	check(t, next.Process.Signal(syscall.SIGSTOP))
	toNew.send(event("crosses"))
	// The old process forwards this one, and waits for the new process to confirm it before it ends.
	time.Sleep(time.Until(migration.Add(-100 * time.Millisecond)))
	toOld.send(event("unknown"))
	time.Sleep(time.Until(migration.Add(200 * time.Millisecond)))
	check(t, next.Process.Signal(syscall.SIGCONT))
	toNew.expectResponse(204, "")
	job.expectResponse(200, "did")
	check(t, o.cmd.Wait())
	o.cmd = next
}

// Guards against a request that only a process which is about to be killed can finish: it comes on a
// connection that was opened just before the upgrade, after the old process has reported that it has no open
// requests. The old process must still migrate it, end before SIGKILL, and the client must get the job's
// result.
func TestUpgradeWithARequestAfterTheOldProcessHasDrained(t *testing.T) {
	const jobTime = 4200 * time.Millisecond // longer than the old process has from SIGTERM on
	for range 5 {
		if upgradeWithLateRequests(t, jobTime) {
			return
		}
	}
	t.Error("in no upgrade did the old process get a request after it had drained")
}

// upgradeWithLateRequests upgrades a node while connections are opened, and sends a job on each once the new
// process is ready. It reports whether the old process got one of them.
func upgradeWithLateRequests(t *testing.T, jobTime time.Duration) (oldGotRequests bool) {
	t.Helper()
	u := startUpgradableNode(t, 2)
	for _, h := range u.workers {
		h.handle = func(_ int, s workerCall, rw http.ResponseWriter) {
			rw.WriteHeader(202)
			time.AfterFunc(jobTime, func() {
				s.worker.node.callBack(s.id, s.worker.name, "done", "did "+s.body)
			})
		}
	}
	old := u.cmd
	cmd, admin := u.startProcess()
	var clients []*client
	for deadline := time.Now().Add(waitLimit); !isReady(admin); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the new process is not ready")
		}
		clients = append(clients, u.dial())
	}
	var sent []*client
	for i, c := range clients {
		_, err := io.WriteString(c, jobRequest(fmt.Sprint("late-", i), "book", "5000m", "x"))
		if err == nil {
			sent = append(sent, c)
		}
	}
	eventually(t, "the jobs are forwarded", func() bool { return u.callCount("POST") == len(sent) })
	check(t, old.Process.Signal(syscall.SIGTERM))
	signalled := time.Now()
	check(t, old.Wait())
	took := time.Since(signalled)
	if took > sigkillAfter {
		t.Errorf("the old process ended %v after SIGTERM, when SIGKILL would have come", took)
	}
	for _, c := range sent {
		c.expectResponse(200, "did x")
	}
	u.cmd, u.admin = cmd, admin
	return took > time.Second // it waits for requests that it has, to migrate them
}
