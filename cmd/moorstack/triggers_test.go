package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"moorstack/internal/verify/emulate/loopback"
)

// Triggers are set in the agreed configuration, and operators' commands show them before and after the
// change. An invalid section is rejected with the key in question and changes nothing.
func TestTriggersAreSetAndShownByCommands(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	g.form("n1", "n2", "n3")
	for want, bad := range map[string]string{
		"there is no such class; trip-quote": `"trigger.a" = "30 6 * * MON class=x"`,
		"above maximum":                      `"trigger.a" = "30 26 * * MON class=trip-book"`,
		"never comes":                        `"trigger.a" = "30 6 30 2 * class=trip-book"`,
		"after, shift, skip are possible":    `"trigger.a" = "30 6 * * * class=trip-book gap=x"`,
		"is no key of this section":          `"tigger.a" = "30 6 * * * class=trip-book"`,
		"is no version of zone rules":        `zones = "2026b"`,
	} {
		out, code := g.propose("n1", "[section.schedule]\nzone = \"Asia/Muscat\"\n"+bad+"\n")
		if code == 0 || !strings.Contains(out, want) || !strings.Contains(out, "new.toml:") {
			t.Errorf("%s: exit %d: %s", bad, code, out)
		}
	}
	// An unknown time zone is rejected: each instance looks it up in its own zone rules.
	out, code := g.propose("n1",
		"[section.schedule]\n\"trigger.a\" = \"0 6 * * * class=trip-book zone=Mars/Base\"\n")
	if code == 0 || !strings.Contains(out, "withdrawn") || !strings.Contains(out, "trigger.a") {
		t.Errorf("exit %d: %s", code, out)
	}
	g.expect(exitInvalid, "no zone that the rules here know", "config", "propose", "new.toml", "--dry-run",
		"--config", "n1.toml")
	sections := `[section.schedule]
zone = "Europe/Berlin"
"trigger.dialysis-7" = "30 2 * * * class=trip-book fold=both account=clinic-7"
"trigger.leap" = "0 6 29 2 * class=trip-quote leap=last"
`
	if out, code = g.propose("n1", sections); code != 0 {
		t.Fatal(out)
	}
	eventually(t, "the fleet's time is known", func() bool {
		out := g.must("cluster", "status", "--config", "n2.toml")
		return strings.Contains(out, "triggers      2, ") && !strings.Contains(out, "not known here") &&
			!strings.Contains(out, "zone rules 0000000000000000")
	})
	text := g.must("config", "get", "--config", "n1.toml")
	check(t, os.WriteFile(filepath.Join(g.dir, "next.toml"), []byte(strings.Replace(text, "fold=both",
		"fold=first",
		1)), 0o600))
	out = g.must("config", "propose", "next.toml", "--dry-run", "--config", "n1.toml")
	for _, want := range []string{"dialysis-7 (Europe/Berlin): ", "T02:30", "-02-29T06:00",
		"the month lacks its day", "zones = "} {
		if !strings.Contains(out, want) {
			t.Errorf("a dry run does not print %q: %s", want, out)
		}
	}
	// A clock that is set by a file is only for tests.
	file := filepath.Join(g.dir, "n4.toml")
	text = strings.ReplaceAll(string(must(os.ReadFile(filepath.Join(g.dir, "n1.toml")))), "n1", "n4")
	check(t, os.WriteFile(file, []byte(text+"[test]\nclock = \"c\"\n"), 0o600))
	g.must("keys", "issue", "n4")
	g.expect(1, "for tests: take the line out", "serve", "--config", "n4.toml")
}

// Instances that shut down one after another release the firings that they have not begun and complete those
// that they have: no firing's outcome is unknown.
func TestTriggersWhileInstancesShutDown(t *testing.T) {
	t.Parallel()
	g := &group{t: t, dir: t.TempDir()}
	check(t, os.WriteFile(filepath.Join(g.dir, "story.txt"), []byte("1s leave n1 300ms\n3s leave n2 300ms\n"+
		"5s leave n3 300ms\n7s leave leader 300ms\n"), 0o600))
	g.expect(0, " 0 may have run, 0 refused, 0 failed", "prove", "cluster", "--story", "story.txt",
		"--for", "12s",
		"--duties", "0", "--accounts", "0", "--triggers", "9", "--rate", "5")
}

// The night of a clock change, 29 February and a day that a time zone skipped, at accelerated speed, with
// kills within that very hour; a clock that is off by minutes and by an hour; and an instance with older zone
// rules. No occurrence fires twice, is missed, or is retried where that is not allowed.
func TestTriggersThroughClockChanges(t *testing.T) {
	for name, c := range map[string]struct {
		faults string
		args   []string
	}{
		"clocks go back": {"1s kill leader\n1500ms stall n2 900ms\n2s start n1\n2100ms start n2\n" +
			"2200ms start n3\n3s restart n2 300ms\n4s isolate n1\n5500ms heal",
			[]string{"--clock", "2026-10-25T00:20:00Z", "--speed", "600"}},
		"clocks go forward": {"500ms restart leader 400ms\n1500ms restart n2 100ms\n" +
			"2500ms stall leader 800ms",
			[]string{"--clock", "2026-03-29T00:40:00Z", "--speed", "400"}},
		"leap day": {"1s restart leader 300ms\n3s cut n1 n2\n4s heal\n5s restart n3 200ms",
			[]string{"--clock", "2028-02-28T22:30:00Z", "--speed", "600"}},
		"clocks are off": {"500ms ahead n1 5m\n2s true n1\n2500ms ahead n1 1h\n4s behind n1 1h\n" +
			"5s kill n2\n5500ms start n2\n6s true n1", nil},
		"older rules": {"1s restart leader 300ms\n3s stall n1 900ms\n5s kill n2\n5500ms start n2",
			[]string{"--old-rules", "n3"}},
		"owners": {"500ms stall leader 700ms\n1500ms @proposed isolate it\n3s heal\n3500ms deaf leader\n" +
			"5s heal\n5100ms stall n3 40ms\n5300ms torn n2 200ms", nil},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := &group{t: t, dir: t.TempDir()}
			check(t, os.WriteFile(filepath.Join(g.dir, "story.txt"), []byte(c.faults), 0o600))
			args := append([]string{"prove", "cluster", "--story", "story.txt", "--for", "8s", "--duties",
				"0",
				"--accounts", "0", "--triggers", "9", "--rate", "5"}, c.args...)
			began := time.Now()
			out, code := g.run(args...)
			if code != 0 || !strings.Contains(out, ", 0 violations") {
				t.Errorf("after %v: exit %d: %s", time.Since(began), code, out)
			}
		})
	}
}

// A group created from a backup continues the triggers from its own start: it does not repeat an occurrence
// that the old group has fired, not even under another number, and skips no occurrence after its first one.
func TestTriggersAfterARestore(t *testing.T) {
	t.Parallel()
	g := newGroup(t)
	var mu sync.Mutex
	ranBy := map[string][]string{} // by occurrence: the instances whose workers ran it
	g.startWithWorkers([]string{"n1", "n2", "m1"}, func(name string) loopback.Options {
		return loopback.Options{OnJob: func(_, key string) {
			mu.Lock()
			defer mu.Unlock()
			if strings.HasPrefix(key, "each-second@") {
				ranBy[key] = append(ranBy[key], name)
			}
		}}
	})
	count := func(names ...string) (n int) {
		mu.Lock()
		defer mu.Unlock()
		for _, by := range ranBy {
			if slices.Contains(names, by[0]) {
				n++
			}
		}
		return n
	}
	g.form("n1", "n2")
	if out, code := g.propose("n1", longLease+"[section.schedule]\nzone = \"Asia/Muscat\"\n"+
		"\"trigger.each-second\" = \"* * * * * * class=trip-book\"\n"); code != 0 {
		t.Fatal(out)
	}
	within(t, time.Minute, "the first occurrences are fired", func() bool { return count("n1", "n2") >= 3 })
	g.must("cluster", "backup", "all.backup", "--config", "n1.toml")
	firedBefore := count("n1", "n2")
	within(t, time.Minute, "more occurrences are fired after the backup",
		func() bool { return count("n1", "n2") >= firedBefore+2 })
	g.kill("n1", syscall.SIGKILL)
	g.kill("n2", syscall.SIGKILL)
	g.start("m1")
	g.must("cluster", "init", "--from", "all.backup", "--config", "m1.toml")
	within(t, time.Minute, "the new group fires occurrences", func() bool { return count("m1") >= 4 })
	g.kill("m1", syscall.SIGKILL)
	mu.Lock()
	defer mu.Unlock()
	var newGroupFired []time.Time
	for key, by := range ranBy {
		if len(by) != 1 {
			t.Errorf("%s ran at workers of %v, want one instance", key, by)
		}
		if by[0] == "m1" {
			newGroupFired = append(newGroupFired, parseLocalTime(t, strings.TrimPrefix(key, "each-second@")))
		}
	}
	slices.SortFunc(newGroupFired, time.Time.Compare)
	for n := range newGroupFired[1:] {
		if d := newGroupFired[n+1].Sub(newGroupFired[n]); d != time.Second {
			t.Errorf("occurrences between %v and %v were missed", newGroupFired[n], newGroupFired[n+1])
		}
	}
}

// parseLocalTime parses the local time in an idempotency key, which has no seconds if they are zero.
func parseLocalTime(t *testing.T, text string) time.Time {
	t.Helper()
	layout := "2006-01-02T15:04:05"
	if len(text) == len("2006-01-02T15:04") {
		layout = "2006-01-02T15:04"
	}
	at, err := time.Parse(layout, text)
	check(t, err)
	return at
}

// Guards against a trigger's job that runs twice: a worker accepts it and never calls back, and the broker
// rejects it at its deadline, since all workers recognise its key. That is true for the key's window only,
// which is over by then.
func TestTriggerIsNotRepeatedAfterItsKeyWindow(t *testing.T) {
	t.Parallel()
	const window = 2 * time.Second
	g := newGroup(t)
	g.settings = strings.NewReplacer(`"key_scope":"cell"`, `"key_scope":"all"`, `"give_up":5000000000`,
		`"give_up":2000000000`, `"slo":4000000000`, `"slo":1000000000`, `"window":25000000000`,
		`"window":2000000000`).Replace(testSettings)
	var mu sync.Mutex
	sent := map[string][]time.Time{} // by occurrence
	w := g.startSoleInstance("", func(_ int, s workerCall, rw http.ResponseWriter) {
		rw.WriteHeader(202)
		mu.Lock()
		defer mu.Unlock()
		sent[s.id] = append(sent[s.id], time.Now())
	})
	g.must("cluster", "init", "--config", "n1.toml")
	eventually(t, "the instance admits jobs", w.healthy)
	g.setSections("n1", "[section.schedule]\nzone = \"UTC\"\n"+
		"\"trigger.standing-7\" = \"* * * * * * class=book\"\n")
	time.Sleep(4 * window) // a repeat would come some 2.3 s after the first attempt
	mu.Lock()
	for id, times := range sent {
		if after := times[len(times)-1].Sub(times[0]); after > window {
			t.Errorf("%s was sent %d times, the last %v after the first; the window is %v", id, len(times),
				after, window)
		}
	}
	if len(sent) == 0 {
		t.Error("no occurrence was fired")
	}
	mu.Unlock()
	g.eventuallyPrints("failed", "cluster", "status", "--config", "n1.toml")
}

// Guards against triggers that nobody fires while their instance is down: with cut_off = "serve" its session
// stays open, and it owned a part of the triggers for as long.
func TestTriggersOfADeadInstanceUnderCutOffServe(t *testing.T) {
	t.Parallel()
	const triggers, late = 12, 5 * time.Second
	g := newGroup(t)
	var mu sync.Mutex
	ran := map[string]bool{} // by occurrence
	g.startWithWorkers([]string{"n1", "n2", "n3"}, func(string) loopback.Options {
		return loopback.Options{OnJob: func(_, key string) {
			mu.Lock()
			defer mu.Unlock()
			ran[key] = true
		}}
	})
	g.form("n1", "n2", "n3")
	dead := without([]string{"n1", "n2", "n3"}, g.leader("n1", "n2", "n3"))[0]
	sections := "[section.rollout]\ncut_off = \"serve\"\n[section.schedule]\nzone = \"UTC\"\n"
	for k := range triggers {
		sections += fmt.Sprintf("\"trigger.standing-%d\" = \"* * * * * * class=trip-quote late=%v\"\n", k,
			late)
	}
	g.setSections("n1", sections)
	within(t, time.Minute, "all triggers are fired", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(ran) > 3*triggers
	})
	g.kill(dead, syscall.SIGKILL)
	killed := time.Now().UTC().Truncate(time.Second)
	time.Sleep(late + 5*time.Second)
	mu.Lock()
	defer mu.Unlock()
	for at := killed.Add(2 * time.Second); at.Before(killed.Add(5 * time.Second)); at = at.Add(time.Second) {
		layout := "2006-01-02T15:04:05"
		if at.Second() == 0 {
			layout = "2006-01-02T15:04"
		}
		for k := range triggers {
			if key := fmt.Sprintf("standing-%d@%s", k, at.Format(layout)); !ran[key] {
				t.Errorf("%s, due %v after the end of %s, was never fired", key, at.Sub(killed), dead)
			}
		}
	}
}
