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
)

// One process takes the other's place under load: every client has its one answer, no
// connection is refused or reset, no job runs twice, maintenance lasts, and so twice over.
func TestUpgradeUnderLoad(t *testing.T) { upgradeUnderLoad(t, program, program) }

// The same, from this program to the one before the present names and back, twice over.
func TestUpgradeAcrossVersionsUnderLoad(t *testing.T) {
	dir := t.TempDir()
	buildCommit(t, must(filepath.Abs("../..")), beforePresentNames, dir, "older")
	older := filepath.Join(dir, "older")
	upgradeUnderLoad(t, older, program, older, program)
}

// upgradeUnderLoad has a process of each program in turn take the place of the one before.
func upgradeUnderLoad(t *testing.T, programs ...string) {
	t.Helper()
	u := startUpgradableNode(t, 3)
	out := u.workers[2]
	u.expectReply("ACK", "maint-on "+out.name+"\n")
	banned := out.callCount()
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
	u.waitServing("it serves on")
	if s := u.metrics(); s.Ejected != 1 || s.Discovered != 3 {
		t.Errorf("the new process's metrics: %+v", s)
	}
	u.stopClients()
	if u.unanswered.Load() > 0 || out.callCount() != banned {
		t.Errorf("%d requests were lost, the worker under maintenance got %d", u.unanswered.Load(),
			out.callCount()-banned)
	}
	t.Logf("%d jobs served, %d sent again on a new connection", u.served.Load(), u.resent.Load())
	u.checkNoJobRanTwice()
}

// The new process dies at any time before the old one gets SIGTERM: the old one serves on.
func TestUpgradeWhoseNewProcessDies(t *testing.T) {
	u := startUpgradableNode(t, 2)
	u.killed = true
	u.startClients(20)
	for _, most := range []int{20, 80, 400} {
		cmd, _ := u.startProcess()
		u.sleepUpTo(most)
		check(t, cmd.Process.Kill())
		_ = cmd.Wait()
		u.waitServing("the old process serves on")
		u.expectReply("ACK", "status\n")
	}
	cmd, admin := u.startProcess()
	eventually(t, "a later one is ready", func() bool { return isReady(admin) })
	check(t, u.cmd.Process.Kill()) // and now the old one dies
	_ = u.cmd.Wait()
	u.cmd, u.admin = cmd, admin
	u.waitServing("the new process serves on")
	u.stopClients()
	u.checkNoJobRanTwice()
}

// The old process dies at any moment of the hot restart: the new one serves, from whatever
// it has of the other.
func TestUpgradeWhoseOldProcessDies(t *testing.T) {
	u := startUpgradableNode(t, 2)
	u.killed = true
	u.startClients(20)
	for _, most := range []int{5, 20, 40, 80} {
		cmd, admin := u.startProcess()
		u.sleepUpTo(most)
		check(t, u.cmd.Process.Kill())
		_ = u.cmd.Wait()
		u.cmd, u.admin = cmd, admin
		eventually(t, "the new process is ready", func() bool { return isReady(admin) })
		u.waitServing("it serves on")
	}
	u.stopClients()
	u.checkNoJobRanTwice()
}

// A third process waits until the first two have settled, and then takes over from the
// second. Hazard: it served at a socket of its own, and call-backs that it accepted were lost.
func TestThirdProcessWaitsForAnUpgrade(t *testing.T) {
	u := startUpgradableNode(t, 2)
	u.startClients(10)
	second, admin := u.startProcess()
	third, other := u.startProcess()
	eventually(t, "one of them is ready", func() bool {
		if isReady(other) { // the third may have come first
			second, third, admin, other = third, second, other, admin
		}
		return isReady(admin)
	})
	check(t, u.cmd.Process.Signal(syscall.SIGTERM))
	check(t, u.cmd.Wait())
	eventually(t, "the other is ready", func() bool { return isReady(other) })
	check(t, second.Process.Signal(syscall.SIGTERM))
	check(t, second.Wait())
	u.cmd, u.admin = third, other
	u.waitServing("the last one serves on")
	u.stopClients()
	if u.unanswered.Load() > 0 {
		t.Errorf("%d requests were lost", u.unanswered.Load())
	}
	u.checkNoJobRanTwice()
}

// What lies at the meeting place from before, or speaks otherwise, does not keep a node
// from starting in bounded time.
func TestStartBesideForeignUpgradeSocket(t *testing.T) {
	for name, stranger := range map[string]func(net.Conn){
		"silent":   func(net.Conn) {},
		"half":     func(c net.Conn) { _, _ = io.WriteString(c, `{"t":"state","v":1,"st`) },
		"another":  func(c net.Conn) { _, _ = io.WriteString(c, `{"t":"state","v":99}`+"\n") },
		"binary":   func(c net.Conn) { _, _ = io.WriteString(c, "\x00\xff\n") },
		"hangs up": func(c net.Conn) { c.Close() },
		"no socket": func(c net.Conn) {
			_, _ = io.WriteString(c, `{"t":"state","v":1,"state":{"instances":[]}}`+"\n")
		},
		"busy for ever": func(c net.Conn) {
			_, _ = io.WriteString(c, `{"t":"refuse","v":1,"why":"busy"}`+"\n")
			c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			t.Setenv("TMPDIR", dir)
			o := startNodeWithAdmin(t, 1, completeJob)
			socks, err := filepath.Glob(filepath.Join(dir, "moorstack-*.sock"))
			if err != nil || len(socks) != 1 {
				t.Fatalf("the meeting place: %q, %v", socks, err)
			}
			check(t, o.cmd.Process.Kill()) // its socket stays
			_ = o.cmd.Wait()
			check(t, os.Remove(socks[0]))
			l, err := net.Listen("unix", socks[0])
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
						stranger(c)
						_, _ = io.Copy(io.Discard, c)
					}()
				}
			}()
			u := &upgradeFixture{adminFixture: o}
			began := time.Now()
			cmd, admin := u.startProcess()
			eventually(t, "the node is ready", func() bool { return isReady(admin) })
			if took := time.Since(began); took > 5800*time.Millisecond {
				t.Errorf("it took %v, and has 6 s", took)
			}
			// Call-backs for the stranger's jobs come here, too.
			if status := o.callBack("unknown", "s-0000", "done", "x"); status != 503 {
				t.Errorf("a call-back for who knows whom was answered %d", status)
			}
			o.dial().send(jobRequest("a", "quote", "4000m", "x")).expectResponse(200, "did x")
			check(t, cmd.Process.Signal(syscall.SIGTERM))
			check(t, cmd.Wait())
		})
	}
}

// The new process polls discovery where a reload has sent the old one, whatever the variable
// of the old one's start names; and ends after what has half come.
func TestUpgradeKeepsReloadedDiscovery(t *testing.T) {
	u := startUpgradableNode(t, 1)
	<-u.watches
	var asked atomic.Int64
	moved := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		asked.Add(1)
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
	eventually(t, "the old process has moved", func() bool { return asked.Load() == 1 })
	request := jobRequest("half", "quote", "4000m", "x")
	half, sent := u.dial(), 0
	drip := func() { half.send(request[sent : sent+1]); sent++ }
	drip()
	cmd, admin := u.startProcess()
	eventually(t, "the new process polls there", func() bool { return asked.Load() == 2 })
	eventually(t, "it is ready", func() bool {
		drip()
		time.Sleep(100 * time.Millisecond)
		return isReady(admin)
	})
	check(t, u.cmd.Process.Signal(syscall.SIGTERM))
	time.Sleep(100 * time.Millisecond)
	half.send(request[sent:]).expectResponse(200, "did x")
	check(t, u.cmd.Wait())
	u.cmd = cmd
}

// While two processes are the node, an id that is open at one does not begin at the other,
// a call-back finds the process whose attempt it is, whoever accepts it, and an operator's
// call at one takes effect at both.
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
	eventually(t, "the old process knows of the maintenance", func() bool { return o.metrics().Ejected == 1 })

	event(o.dial(), atOld, 204) // accepted by the new one
	first.expectResponse(200, "did")
	event(kept, atNew, 204) // accepted by the old one
	second.expectResponse(200, "did")
	event(kept, atNew, 204) // a second delivery: nobody knows it any more
	check(t, o.cmd.Process.Signal(syscall.SIGTERM))
	check(t, o.cmd.Wait())
	o.cmd = cmd
}

// A job that runs for longer than the old process may live goes on at the new one, with its
// client's connection: its result, its failure and its client's leaving find their way, also
// over a second upgrade.
func TestUpgradeMigratesOpenJobs(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	held := make(chan workerCall, 4)
	o := startNodeWithAdmin(t, 2, func(_ int, s workerCall, rw http.ResponseWriter) {
		rw.WriteHeader(202)
		held <- s
	})
	u := &upgradeFixture{adminFixture: o}
	jobs, out := map[string]*client{}, map[string]workerCall{}
	for _, id := range []string{"done", "fails", "leaves", "done-late"} {
		jobs[id] = o.dial().send(jobRequest(id, "book", "90000m", "x"))
		out[id] = <-held
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
		if status := o.callBack(id, out[id].worker.name, state, "did"); status != 204 {
			t.Errorf("the call-back of %s was answered %d", id, status)
		}
	}
	replace()
	if s := o.metrics(); s.Outstanding != 4 {
		t.Fatalf("the new process's metrics: %+v", s)
	}
	callBack("done", "done")
	jobs["done"].expectResponse(200, "did")
	callBack("done", "done") // a second delivery
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
		t.Errorf("the last process's metrics: %+v", s)
	}
	if n := o.callCount("POST"); n != 4 {
		t.Errorf("the workers got %d attempts of 4 jobs", n)
	}
}
