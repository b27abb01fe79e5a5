package platform

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"moorstack/internal/netio/eventloop"
	"moorstack/internal/netio/kernel"
	"moorstack/internal/proxy/broker"
)

// agent stands for discovery, or for its agent beside the node: it has one worker, in one state.
type agent struct {
	*httptest.Server
	mu      sync.Mutex
	state   string
	gen     int
	deaf    bool          // open watches say nothing any more, nor do new ones
	mute    bool          // calls are never answered
	slow    time.Duration // calls take so long
	down    bool
	say     string // in place of the list, if not empty
	cut     int    // the list is cut after so many bytes; 0: it is whole
	calls   int    // for the whole list
	watches int
	hosts   []string      // where further workers listen, that are s-2 and so on
	drained bool          // those drain
	class   string        // in place of the class of the settings, if not empty
	ends    chan struct{} // closed: the watches that are open end
}

func newAgent(t *testing.T) *agent {
	a := &agent{state: "SERVING", gen: 41, ends: make(chan struct{})}
	a.Server = httptest.NewServer(http.HandlerFunc(a.serve))
	t.Cleanup(func() { a.CloseClientConnections(); a.Close() })
	return a
}

func (a *agent) do(f func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f()
}

// turn has the worker be in another state from now on.
func (a *agent) turn(state string) { a.do(func() { a.state, a.gen = state, a.gen+1 }) }

func (a *agent) list() string {
	const format = `{"instanceId":"s-%d","hostPort":%q,"zone":"z","machineType":"k","cell":1,` +
		`"lifecycle":%q,"weight":1,"startedAtMs":0}`
	lines := []string{fmt.Sprintf(format, 1, "127.0.0.9:9", a.state)}
	state := "SERVING"
	if a.drained {
		state = "DRAINING"
	}
	for i, host := range a.hosts {
		lines = append(lines, fmt.Sprintf(format, i+2, host, state))
	}
	return fmt.Sprintf(`{"generation":%d,"reset":true,"instances":[%s]}`, a.gen, strings.Join(lines, ","))
}

func (a *agent) serve(w http.ResponseWriter, r *http.Request) {
	stream := r.URL.Query().Get("stream") != ""
	a.mu.Lock()
	if stream {
		a.watches++
	} else {
		a.calls++
	}
	down, mute, slow, ends := a.down, a.mute && !stream, a.slow, a.ends
	text := a.list()
	if a.say != "" {
		text = a.say
	}
	if a.cut > 0 {
		text = text[:a.cut]
	}
	a.mu.Unlock()
	switch {
	case down:
		w.WriteHeader(503)
		return
	case mute:
		<-r.Context().Done()
		return
	case !stream:
		select {
		case <-time.After(slow):
		case <-r.Context().Done():
		}
		_, _ = io.WriteString(w, text)
		return
	}
	w.WriteHeader(200)
	for told := 0; ; {
		var line string
		a.do(func() {
			if !a.deaf && told < a.gen {
				line, told = a.list(), a.gen
				if a.say != "" {
					line = a.say
				}
			}
		})
		fmt.Fprint(w, line)
		if line != "" {
			fmt.Fprintln(w)
		}
		w.(http.Flusher).Flush()
		select {
		case <-time.After(5 * time.Millisecond):
		case <-ends:
			return
		case <-r.Context().Done():
			return
		}
	}
}

const grace = 400 * time.Millisecond

// follower is a front that follows the agent's list.
func follower(t *testing.T, mode string, a *agent) *Front {
	t.Helper()
	return followerOn(t, kernel.Linux{}, mode, a)
}

// followerOn is follower on another system in the kernel's place.
func followerOn(t *testing.T, system kernel.System, mode string, a *agent) *Front {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	cfg := configOf(t, file, mode, a)
	log := logrus.New()
	log.SetOutput(io.Discard)
	loop, err := eventloop.NewWithSystem(system)
	if err != nil {
		t.Fatal(err)
	}
	f := New(loop, cfg, log)
	set, err := cfg.Settings.Balancer()
	if err != nil {
		t.Fatal(err)
	}
	c, err := broker.New(set, 7, beats{loop}, f.EndpointSource(), log)
	if err == nil {
		err = f.Open(c)
	}
	if err != nil {
		t.Fatal(err)
	}
	over := make(chan error, 1)
	go func() { over <- loop.Run() }()
	t.Cleanup(func() {
		loop.Post(loop.Stop)
		<-over
	})
	return f
}

type beats struct{ loop *eventloop.Loop }

func (b beats) Now() time.Duration                         { return b.loop.Now() }
func (b beats) At(at time.Duration, f func()) broker.Timer { return b.loop.At(at, f) }

func configOf(t *testing.T, file, mode string, a *agent) *Config {
	text := fmt.Sprintf(`{"name":"n","listen":"127.0.0.1:0","discovery":%q,"seed":"7","known":%s,`+
		`"settings":{"fleet_size":1,"kinds":["k"],"zones":["z"],"membership_mode":%q,`+
		`"classes":[%s],`+
		`"limits":{"try_limit":3,"cancel":true,"connect_timeout":3000000000},`+
		`"contract":{"drain_grace":%d,"ask_every":10000000000}}}`,
		a.Listener.Addr(), a.list(), mode, cmp.Or(a.class,
			`{"name":"c","effect":"retryable","give_up":5000000000,"slo":4000000000}`), grace.Nanoseconds())
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cfg, err := ReadConfigFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// state is the worker's, as the front knows it.
func (f *Front) state() string {
	got := make(chan string, 1)
	f.loop.Post(func() { got <- f.entries["s-1"].Lifecycle })
	return <-got
}

// turns waits until the front knows the state, and fails if that takes longer than the agent's news may.
func turns(t *testing.T, f *Front, state string, within time.Duration) {
	t.Helper()
	for began := time.Now(); f.state() != state; time.Sleep(time.Millisecond) {
		if time.Since(began) > within {
			t.Fatalf("%v after the agent knew it the front does not know of %s", within, state)
		}
	}
}

// stays fails if the front comes to know anything else.
func stays(t *testing.T, f *Front, state string) {
	t.Helper()
	for began := time.Now(); time.Since(began) < grace; time.Sleep(time.Millisecond) {
		if got := f.state(); got != state {
			t.Fatalf("the front takes the worker for %q", got)
		}
	}
}

// What the agent has counts as told, whatever becomes of the watch and of single calls.
//
// The bound here is many times the grace: how fast this machine is must not decide. Without calls
// beside the watch none of these ends at all.
func TestPushedListIsKnown(t *testing.T) {
	const bound = 20 * grace
	for name, trouble := range map[string]func(a *agent){
		"all well":                     func(*agent) {},
		"deaf watch":                   func(a *agent) { a.deaf = true },
		"deaf watch, slow calls":       func(a *agent) { a.deaf, a.slow = true, 3*grace/4 },
		"silent calls":                 func(a *agent) { a.mute = true },
		"indented":                     func(a *agent) { a.deaf, a.say = true, indented(a) },
		"watches that end, deaf after": func(a *agent) { a.deaf = true; close(a.ends) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := newAgent(t)
			f := follower(t, "pushed", a)
			turns(t, f, "SERVING", bound)
			a.do(func() { a.state, a.gen = "DRAINING", a.gen+1; trouble(a) })
			turns(t, f, "DRAINING", bound)
		})
	}
}

func indented(a *agent) string {
	var v any
	if err := json.Unmarshal([]byte(a.list()), &v); err != nil {
		panic(err)
	}
	text, _ := json.MarshalIndent(v, "", "  ")
	return string(text) + "\n"
}

// From its first moment a process is held to what the agent has, and after an outage at once.
func TestPushedListAtTheStartAndAfterAnOutage(t *testing.T) {
	t.Parallel()
	a := newAgent(t)
	a.deaf = true
	f := follower(t, "pushed", a)
	a.turn("DRAINING")
	turns(t, f, "DRAINING", 20*grace)
	a.do(func() { a.down = true; close(a.ends); a.ends = make(chan struct{}) })
	a.turn("SERVING")
	stays(t, f, "DRAINING")
	a.do(func() { a.down = false })
	turns(t, f, "SERVING", 20*grace)
}

// A list that makes no sense changes nothing, and a sound one after it is taken.
func TestListsThatMakeNoSense(t *testing.T) {
	t.Parallel()
	a := newAgent(t)
	a.deaf = true
	f := follower(t, "pushed", a)
	a.do(func() { a.gen = 50 })
	turns(t, f, "SERVING", 20*grace)
	for name, text := range map[string]string{
		"foreign":           `{"status":"ok"}`,
		"foreign, not JSON": "<html>",
		"no instances":      `{"generation":60,"reset":true}`,
		"no id":             `{"generation":60,"reset":true,"instances":[{"lifecycle":"SERVING"}]}`,
		"a list":            `[]`,
		"endless":           strings.Repeat(" ", maxListBytes+1),
		"empty":             "null",
	} {
		a.do(func() { a.say = text })
		stays(t, f, "SERVING")
		if t.Failed() {
			t.Fatal(name)
		}
	}
	a.do(func() { a.say = "" })
	for a.cut = 1; a.cut < len(a.list()); a.do(func() { a.cut += 7 }) {
		calls := 0
		a.do(func() { calls, a.state = a.calls, "DRAINING" })
		for done := false; !done; time.Sleep(time.Millisecond) {
			a.do(func() { done = a.calls > calls+1 })
		}
		if got := f.state(); got != "SERVING" {
			t.Fatalf("cut after %d bytes: the front takes the worker for %q", a.cut, got)
		}
	}
	a.do(func() { a.cut, a.gen = 0, 51 })
	turns(t, f, "DRAINING", 20*grace)
}

// After a reload the new address is followed from the first moment, whatever its generations are.
func TestPushedListAfterAReload(t *testing.T) {
	t.Parallel()
	a, b := newAgent(t), newAgent(t)
	a.gen = 90
	f := follower(t, "pushed", a)
	b.do(func() { b.state, b.deaf = "DRAINING", true })
	configOf(t, f.cfg.path, "pushed", b)
	f.loop.Post(f.Reload)
	turns(t, f, "DRAINING", 20*grace)
	old, now := 0, 0
	a.do(func() { old = a.calls })
	a.turn("SERVING") // told to a watch that the front has left, or has not
	b.do(func() { now = b.calls })
	for asked := 0; asked < now+6; time.Sleep(time.Millisecond) {
		b.do(func() { asked = b.calls })
	}
	stays(t, f, "DRAINING")
	a.do(func() {
		// One call may have been on its way when the address changed, and is counted when it is read.
		if a.calls > old+1 {
			t.Errorf("the old address has been asked %d times since", a.calls-old)
		}
	})
}

// Where discovery is asked each call costs: the watch is all there is.
func TestAskedListIsOnlyWatched(t *testing.T) {
	t.Parallel()
	a := newAgent(t)
	f := follower(t, "on_request", a)
	a.turn("DRAINING")
	turns(t, f, "DRAINING", 20*grace)
	stays(t, f, "DRAINING")
	a.do(func() {
		if a.calls != 0 || a.watches != 1 {
			t.Errorf("%d calls and %d watches", a.calls, a.watches)
		}
	})
}

// The list in the configuration may be long past: nothing is known by it until discovery has spoken.
func TestConfiguredListWaitsForDiscovery(t *testing.T) {
	for _, mode := range []string{"on_request", "pushed"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			a := newAgent(t)
			a.deaf, a.mute = true, true
			f := follower(t, mode, a)
			stays(t, f, "")
			if n, watched := f.passes(); n != 1 || watched {
				t.Errorf("%d workers are passed on to another process, to others: %v", n, watched)
			}
			if ready := f.healthy(); ready {
				t.Error("ready with a list that nobody has confirmed")
			}
			a.do(func() { a.state, a.gen, a.deaf = "DRAINING", a.gen+1, false })
			turns(t, f, "DRAINING", 20*grace)
			if ready := f.healthy(); !ready {
				t.Error("not ready with the list of discovery")
			}
		})
	}
}

// A watch that says only that nothing has changed confirms the configured list.
func TestConfiguredListIsConfirmedByABeat(t *testing.T) {
	t.Parallel()
	a := newAgent(t)
	a.say = "\n"
	f := follower(t, "on_request", a)
	turns(t, f, "SERVING", 20*grace)
}

// healthy is what clients are told who ask after the front's health.
func (f *Front) healthy() bool {
	got := make(chan error, 1)
	f.loop.Post(func() { got <- f.Ready() })
	return <-got == nil
}

// passes is how many workers a process is told of that takes this one's place, and whether other instances
// would be given the list.
func (f *Front) passes() (n int, watched bool) {
	done := make(chan struct{})
	f.loop.Post(func() {
		var lines []workerEntry
		if _, raw, err := f.CurrentList(); err == nil {
			_ = json.Unmarshal(raw, &lines)
		}
		n, watched = len(lines), f.WatchesDiscovery()
		close(done)
	})
	<-done
	return n, watched
}
