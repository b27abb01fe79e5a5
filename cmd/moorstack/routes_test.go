package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"
)

const sampleRules = `version = 1

[[pool]]
name = "first"
cell = [1]

[[rule]]
name = "no-books"
match = { class = ["book"], path_prefix = ["/api"] }
refuse = "no bookings today"
retry_after = "1500ms"

[[rule]]
name = "quotes"
match = { class = ["quote", ""], host = ["app.svc"] }
class = "quote"
prefer = ["first"]
spill = "never"
`

// agreedExpectation is a file with one expectation, which is a rejection with a reason.
const agreedExpectation = `version = 1
platform = "platform.json"
rules = "routes.toml"
[[worker]]
name = "a"
zone = "z"
kind = "k"
cell = 1
[[job]]
name = "book"
class = "book"
path = "/api"
[[expect]]
name = "books are refused"
job = "book"
refused = { reason = "%s" }
`

// routedInstance is an instance with routing rules.
type routedInstance struct {
	*group
	node    *nodeFixture
	faktory string // the Faktory front's address
}

// Routing rules are read from the instance's file, again on SIGHUP; the group's rules take precedence over
// it.
func TestRoutesAtAnInstance(t *testing.T) {
	t.Parallel()
	r := &routedInstance{group: newGroup(t), faktory: freeAddress(t)}
	r.write("faktory.toml", fmt.Sprintf("listen = %q\n[classes]\n", r.faktory))
	r.write("routes.toml", sampleRules)
	r.node = r.startSoleInstance("faktory = \"faktory.toml\"\nroutes = \"routes.toml\"\n",
		func(_ int, s workerCall, rw http.ResponseWriter) { acceptJob(s, rw, "done") })

	// An instance without a group does not know which policy is in force and admits no jobs.
	rejection := r.node.dial().send(jobRequest("r0", "quote", "2000m", "x")).expectResponse(503, "")
	if rejection.Header.Get("Retry-After") == "" ||
		!strings.Contains(rejection.Header.Get("X-Refusal"), "no group") {
		t.Errorf("rejection without a group has headers %v", rejection.Header)
	}
	r.must("cluster", "init", "--config", "n1.toml")
	eventually(t, "jobs are admitted", func() bool {
		return strings.Contains(r.must("cluster", "status", "--config", "n1.toml"),
			"admits    jobs, under revision 1")
	})
	r.checkOwnRules()
	r.checkReload()
	r.checkAgreedRules()
	r.checkFaktoryRules()
}

// checkOwnRules checks that the rules of the instance's file are applied.
func (r *routedInstance) checkOwnRules() {
	r.t.Helper()
	// A rejection by a rule has its reason and the time after which to retry.
	resp := r.node.dial().send(jobRequest("r1", "book", "2000m", "x")).expectResponse(503, "")
	if resp.Header.Get("Retry-After") != "1.500" || resp.Header.Get("X-Refusal") != "no bookings today" {
		r.t.Errorf("rejection by a rule has headers %v", resp.Header)
	}
	// Quotes and jobs without a class go to the pool "first", which holds only the first worker, whose cell
	// is 1.
	for i := range 20 {
		class := []string{"quote", ""}[i%2]
		r.node.dial().send(jobRequest(fmt.Sprint("q", i), class, "2000m", "x")).expectResponse(200, "did x")
	}
	workers := r.node.workers
	if a, b := workers[0].callCount(), workers[1].callCount()+workers[2].callCount(); a < 20 || b > 0 {
		r.t.Errorf("the pool's worker got %d calls, the others %d", a, b)
	}
	out := r.must("route", "explain", "--config", "n1.toml", "--class", "quote", "--host", "app.svc")
	for _, want := range []string{"rule 2 (quotes)", "routes.toml:13", "first: s-0000",
		"out: s-0001, the rule puts it elsewhere or nowhere"} {
		if !strings.Contains(out, want) {
			r.t.Errorf("route explain does not print %q: %s", want, out)
		}
	}
}

// checkReload checks that an invalid file changes nothing, and a valid one comes into force on SIGHUP.
func (r *routedInstance) checkReload() {
	r.t.Helper()
	r.write("routes.toml", strings.Replace(sampleRules, `["first"]`, `["frist"]`, 1))
	check(r.t, r.node.cmd.Process.Signal(syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond) // the old rules must stay in force meanwhile
	r.node.dial().send(jobRequest("r2", "book", "2000m", "x")).expectResponse(503, "")
	r.write("routes.toml", strings.Replace(sampleRules, `class = ["book"]`, `class = ["quote"]`, 1))
	check(r.t, r.node.cmd.Process.Signal(syscall.SIGHUP))
	eventually(r.t, "the new rules are in force", func() bool {
		return strings.Contains(
			r.must("route", "explain", "--config", "n1.toml", "--class", "quote", "--path", "/api"),
			"no bookings today")
	})
	r.node.dial().send(jobRequest("r3", "book", "2000m", "x")).expectResponse(200, "did x")
}

// checkAgreedRules checks that the group's rules take precedence and that a change that breaks an expectation
// is rejected.
func (r *routedInstance) checkAgreedRules() {
	r.t.Helper()
	r.write("agreed.toml", strings.Replace(sampleRules, "no bookings today", "the group says no", 1))
	r.write("wrong.toml", fmt.Sprintf(agreedExpectation, "something else"))
	r.write("right.toml", fmt.Sprintf(agreedExpectation, "the group says no"))
	setRoutes := []string{"config", "set", "routes", "toml", "agreed.toml", "--config", "n1.toml", "--expect"}
	r.expect(exitInvalid, "wrong.toml:13: books are refused", append(setRoutes, "wrong.toml")...)
	r.expect(0, "revision 2", append(setRoutes, "right.toml")...)
	eventually(r.t, "the group's rules are in force", func() bool {
		id := fmt.Sprint("g", time.Now().UnixNano())
		resp, _ := r.node.dial().send(jobRequest(id, "book", "2000m", "x")).readResponse()
		return resp.Header.Get("X-Refusal") == "the group says no"
	})
	r.write("bad.toml", strings.Replace(sampleRules, `class = ["book"]`, `class = ["bok"]`, 1))
	r.expect(exitInvalid, `there is no class "bok"`, "config", "set", "routes", "toml", "bad.toml",
		"--config", "n1.toml")
}

// checkFaktoryRules checks that the Faktory front applies the same rules.
func (r *routedInstance) checkFaktoryRules() {
	r.t.Helper()
	c := dial(r.t, r.faktory)
	line := func() string {
		s, err := c.r.ReadString('\n')
		check(r.t, err)
		return s
	}
	line()
	c.send("HELLO {\"v\":2}\r\n")
	line()
	c.send("PUSH {\"jid\":\"job-0001\",\"jobtype\":\"book\",\"args\":[]}\r\n")
	if got := line(); strings.Contains(got, "the group says no") {
		r.t.Errorf("a rule with a path matches a job without one: %q", got)
	}
	out := r.must("route", "explain", "--config", "n1.toml", "--front", "faktory", "--class", "quote")
	if !strings.Contains(out, "any worker") {
		r.t.Errorf("a rule with a host matches a job without one: %s", out)
	}
}
