package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

const testParams = `{"az":0,"me":0,"fleet_size":2,"classes":[{"name":"c","credit":1,"effect":"retryable",` +
	`"give_up":5000000000,"slo":200000000}],"contract":{"answer_slack":20000000,"ask_every":10000000000,` +
	`"cold":0,"drain_grace":1000000000,"fall":0,"overload_factor":0},"limits":{"try_limit":3,` +
	`"max_retry_after":1000000000},"granularity":1000000,"kinds":["k"],"zones":["z"],"surprise":{"a":[1]},` +
	`"blend":{"whole":1},"membership_mode":"pushed"}`

func spawn(who string) string {
	return fmt.Sprintf(`{"spawn":{"who":%q,"entropy":7,"params":%s}}`, who, testParams)
}

// snapshotRows stores a list of two workers, and cachedSync passes it to a dispatcher.
const snapshotRows = `{"snapshot_rows":{"slot":3,"rows_in":[{"worker":11,"rack_zone":0,"sku":0,"block":0,` +
	`"health":2,"size":1,"up_since":null},{"worker":4294967295,"health":2,"extra":{}}]}}`

func cachedSync(who string) string {
	return fmt.Sprintf(`{"sync":{"who":%q,"form":2,"slot":3,"version":41}}`, who)
}

func newRequest(who, id string) string {
	return fmt.Sprintf(`{"new_request":{"who":%q,"handle":%q,"tier_class":0,"owner":null,`+
		`"partition_key":12,"remaining":240000000,"effort":null,"unknown":[1,{"a":null}]}}`, who, id)
}

func batch(moment int, lines ...string) string {
	body := strings.Join(lines, "\n")
	return fmt.Sprintf("{\"batch\":{\"moment\":%d}}\n%s\n{\"commit\":{}}\n", moment, body)
}

func replies(t *testing.T, in string) string {
	t.Helper()
	var out bytes.Buffer
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

func TestEmptyBatch(t *testing.T) {
	got := replies(t, "{\"batch\":{\"moment\":8412250000}}\n{\"commit\":{}}\n")
	if want := "{\"ok\":{}}\n"; got != want {
		t.Errorf("reply %q, want %q", got, want)
	}
}

func TestTranscript(t *testing.T) {
	out := replies(t, batch(1000, spawn("dispatcher/3"), snapshotRows, cachedSync("dispatcher/3"),
		newRequest("dispatcher/3", "r-a"))+
		batch(2000, `{"elapsed":{"who":"dispatcher/3","mark":"0"}}`))
	for _, want := range []string{
		`{"after":{"who":"dispatcher/3","delay":10000000,"mark":"0"}}`,
		`{"route":{"who":"dispatcher/3","handle":"r-a","worker":`,
	} {
		if !strings.Contains(out, want) {
			t.Errorf("reply lacks %s:\n%s", want, out)
		}
	}
	if n := strings.Count(out, "{\"ok\":{}}\n"); n != 2 {
		t.Errorf("%d replies, want 2", n)
	}
}

func TestBadInput(t *testing.T) {
	began := batch(1, spawn("dispatcher/3"), snapshotRows, cachedSync("dispatcher/3"))
	in := func(line string) string { return began + "{\"batch\":{\"moment\":2}}\n" + line + "\n" }
	for _, c := range []struct{ name, in, want string }{
		{"not JSON", in("hello"), "line 7: not a JSON object"},
		{"cut short", in(`{"aborted":{"who":"dispatcher/3"`), "line 7"},
		{"text after", in(`{"kill":{"who":"dispatcher/3"}} x`), "text after"},
		{"unknown event", in(`{"dance":{"who":"dispatcher/3"}}`), `unknown event "dance"`},
		{"missing field", in(`{"aborted":{"who":"dispatcher/3"}}`), `"handle" is missing`},
		{"null for a required field", in(`{"aborted":{"who":"dispatcher/3","handle":null}}`),
			`"handle" is missing`},
		{"wrong type", in(`{"aborted":{"who":3,"handle":"r"}}`), `field "who"`},
		{"unknown list", in(`{"sync":{"who":"dispatcher/3","form":1,"slot":9}}`), "no list in slot 9"},
		{"unknown form", in(`{"sync":{"who":"dispatcher/3","form":7,"slot":3}}`), "unknown form 7"},
		{"not started", in(newRequest("dispatcher/8", "r")), `"dispatcher/8" was never started`},
		{"unknown result", in(`{"probe_done":{"who":"dispatcher/3","worker":11,"result":99}}`),
			"unknown result 99"},
		{"foreign mark", in(`{"elapsed":{"who":"dispatcher/3","mark":"sweep"}}`), "not the token of a timer"},
		{"outside a batch", newRequest("dispatcher/3", "r") + "\n", "outside a batch"},
		{"batch in a batch", in(`{"batch":{"moment":3}}`), "no commit"},
		{"bad settings", batch(1, `{"spawn":{"who":"d","entropy":1,"params":{}}}`), "Classes: none given"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			err := run(strings.NewReader(c.in), &out)
			got := fmt.Sprint(err)
			if err == nil || !strings.Contains(got, c.want) || !strings.Contains(got, "line ") {
				t.Fatalf("error %q, want the line and %q", got, c.want)
			}
			if s := out.String(); strings.HasPrefix(c.in, began) && strings.Count(s, "{\"ok\":{}}") != 1 {
				t.Errorf("output of the bad batch was written: %q", s)
			}
		})
	}
}

// Two dispatchers in one process must produce the same actions as each one alone in a process.
func TestDispatchersShareNothing(t *testing.T) {
	events := func(who string) []string {
		lines := []string{spawn(who), snapshotRows, cachedSync(who)}
		for i := range 20 {
			lines = append(lines, newRequest(who, fmt.Sprintf("r-%s-%d", who, i)))
		}
		return lines
	}
	alone := ""
	for _, who := range []string{"dispatcher/0", "dispatcher/1"} {
		alone += strings.TrimSuffix(replies(t, batch(1, events(who)...)), "{\"ok\":{}}\n")
	}
	together := replies(t, batch(1, append(events("dispatcher/0"), events("dispatcher/1")...)...))
	if together != alone+"{\"ok\":{}}\n" {
		t.Errorf("together:\n%s\nalone:\n%s", together, alone)
	}
}

// A dispatcher that is started after one of the same name was stopped must know no workers.
func TestStoppedDispatcherStartsEmpty(t *testing.T) {
	out := replies(t, batch(1, spawn("d"), snapshotRows, cachedSync("d"), `{"kill":{"who":"d"}}`, spawn("d"),
		newRequest("d", "r-a")))
	if !strings.Contains(out, `{"overload_reply":{"who":"d","handle":"r-a"`) {
		t.Errorf("no rejection although there are no workers:\n%s", out)
	}
}

// A panic of the balancer must produce the action bail_out and leave the reply complete.
func TestPanicBailsOut(t *testing.T) {
	s := newServer()
	s.dispatchers["d"] = &dispatcher{name: "d", out: &s.out} // without a balancer every call panics
	for _, l := range []string{`{"batch":{"moment":1}}`, `{"aborted":{"who":"d","handle":"r"}}`,
		`{"commit":{}}`} {
		if err := s.handleLine([]byte(l)); err != nil {
			t.Fatal(err)
		}
	}
	if out := string(s.out.Buf); !strings.Contains(out, `{"bail_out":{"who":"d","message":"`) ||
		!strings.HasSuffix(out, "{\"ok\":{}}\n") {
		t.Errorf("reply %q", out)
	}
}

func BenchmarkBatch(b *testing.B) {
	s := newServer()
	feed := func(text string) {
		for l := range strings.Lines(text) {
			if err := s.handleLine([]byte(l)); err != nil {
				b.Fatal(err)
			}
		}
		s.out.Reset()
	}
	feed(batch(1, spawn("d"), snapshotRows, cachedSync("d")))
	i := 0
	for b.Loop() {
		i++
		id := fmt.Sprintf("r-%d", i)
		feed(batch(i*1000000, newRequest("d", id)))
		feed(batch(i*1000000, fmt.Sprintf(`{"outcome":{"who":"d","handle":%q,"result":10,"go":0,"worker":11,`+
			`"duration":18500000,"settled":true,"feedback":{"served_ps":140.2,"pending":3,"x0":0.5}}}`, id)))
	}
}
