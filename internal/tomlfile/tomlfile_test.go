package tomlfile

import "testing"

const content = `name = "x"
# comment = 1

[limits]
"jobs" = 5

[[rule]]
class = "a"

[[rule]]
class = "b"
`

func TestErrorsNameFileLineAndKey(t *testing.T) {
	type limits struct {
		Jobs int `toml:"jobs"`
	}
	for _, c := range []struct {
		name, content, want string
	}{
		{"unknown key", "[limits]\njbs = 5\n", "f.toml:2: limits.jbs: this key is not known here"},
		{"unknown table", "[limit]\n", "f.toml:1: limit: this key is not known here"},
		{"syntax", "[limits]\njobs = ?\n",
			"f.toml:2: limits.jobs: expected value but found '?' instead"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var v struct {
				Limits limits `toml:"limits"`
			}
			if err := Decode("f.toml", []byte(c.content), &v); err == nil || err.Error() != c.want {
				t.Errorf("got %v, want %s", err, c.want)
			}
		})
	}
}

func TestLineOfKeyAndTable(t *testing.T) {
	for key, want := range map[string]int{
		"name": 1, "comment": 0, "limits": 4, "limits.jobs": 5, "jobs": 0, "rule.class": 8, "rule": 7,
	} {
		if got := lineOfKey([]byte(content), key); got != want {
			t.Errorf("%s: got line %d, want %d", key, got, want)
		}
	}
	for n, want := range []int{7, 10, 0} {
		if got := LineOfTable([]byte(content), "rule", n); got != want {
			t.Errorf("rule %d: got line %d, want %d", n, got, want)
		}
	}
}
