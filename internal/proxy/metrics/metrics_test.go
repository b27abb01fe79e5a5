package metrics

import (
	"encoding/json"
	"testing"
)

func TestAppend(t *testing.T) {
	c := Counters{Classes: []ClassCounters{{1, 2, 3}}, Forwards: 9, ClientDisconnects: 4}
	line := c.AppendJSON([]byte("x"), []string{"quote", `bo"ok`}, Gauges{14, 10, 2})
	var got struct {
		Results                                    map[string]map[string]uint64
		Outstanding, Discovered, Ejected, Forwards uint64
		Left                                       uint64
	}
	if err := json.Unmarshal(line[1:], &got); err != nil {
		t.Fatalf("%s: %v", line, err)
	}
	q, b := got.Results["quote"], got.Results[`bo"ok`]
	if q["succeeded"] != 1 || q["declined"] != 2 || q["aborted"] != 3 {
		t.Errorf("quote reads %v", q)
	}
	if len(b) != 3 || b["succeeded"]+b["declined"]+b["aborted"] != 0 {
		t.Errorf("a class that has served nothing reads %v", b)
	}
	if got.Outstanding != 14 || got.Discovered != 10 || got.Ejected != 2 || got.Forwards != 9 ||
		got.Left != 4 {
		t.Errorf("%s", line)
	}
}
