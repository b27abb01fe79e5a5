package weights

import (
	"maps"
	"strings"
	"testing"
)

func TestParseWeights(t *testing.T) {
	for _, c := range []struct {
		key, value string
		want       map[string]float64 // nil: rejected
	}{
		{"weight.n1", "0.1", map[string]float64{"n1": 0.1}},
		{"weight.n1", "10", map[string]float64{"n1": 10}},
		{"weight.n1", "1", map[string]float64{}},
		{"weight.n1", "0.09", nil},
		{"weight.n1", "10.1", nil},
		{"weight.n1", "NaN", nil},
		{"weight.n1", "", nil},
		{"weight.", "2", nil},
		{"n1", "2", nil},
	} {
		got, problems := Parse(map[string]string{c.key: c.value})
		if c.want == nil {
			if len(problems) != 1 || !strings.Contains(problems[0], c.key) {
				t.Errorf("%s = %q: got the problems %q, want one that names the key", c.key, c.value,
					problems)
			}
		} else if len(problems) > 0 || !maps.Equal(got, c.want) {
			t.Errorf("%s = %q: got %v and the problems %q, want no problem", c.key, c.value, got, problems)
		}
	}
}
