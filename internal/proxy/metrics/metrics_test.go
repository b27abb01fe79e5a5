package metrics

import (
	"encoding/json"
	"testing"
)

func TestAppendJSON(t *testing.T) {
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
	known, unserved := got.Results["quote"], got.Results[`bo"ok`]
	if known["succeeded"] != 1 || known["declined"] != 2 || known["aborted"] != 3 {
		t.Errorf("class quote has counters %v, want 1, 2 and 3", known)
	}
	if len(unserved) != 3 || unserved["succeeded"]+unserved["declined"]+unserved["aborted"] != 0 {
		t.Errorf("a class without counters has %v, want three zeros", unserved)
	}
	if got.Outstanding != 14 || got.Discovered != 10 || got.Ejected != 2 || got.Forwards != 9 ||
		got.Left != 4 {
		t.Errorf("unexpected gauges or counters in %s", line)
	}
}
