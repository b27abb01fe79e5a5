package encoded

import (
	"encoding"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"moorstack/internal/frontend/faktory"
	"moorstack/internal/frontend/platform"
	"moorstack/internal/frozen/golden"
	"moorstack/internal/node"
	"moorstack/internal/proxy/routing"
	"moorstack/internal/verify/emulate"
	"moorstack/internal/verify/experiment"
)

// The defaults of keys that a configuration file leaves out are unchanged. Each file here is a minimal valid
// one.
func TestDefaultsOfFilesAreFrozen(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	var b strings.Builder
	section := func(name, format string, v any, err error) {
		t.Helper()
		if err != nil {
			t.Fatal(name, err)
		}
		fmt.Fprintf(&b, "%s\n", name)
		writeValues(&b, "", format, reflect.ValueOf(v))
	}
	p, err := platform.ReadConfigFile(write("platform.json", `{"discovery": "127.0.0.1:1", "settings": {
"classes": [{"name": "c", "effect": "retryable", "give_up": 1000000000, "slo": 1000000000}],
"tenants": [{"name": "t", "share": 1}]}}`))
	section("platform file", "json", p, err)
	f, err := faktory.ReadConfig(write("faktory.toml", `listen = "127.0.0.1:1"`))
	section("Faktory file", "toml", f, err)
	s, err := node.ReadServeConfig(write("serve.toml", `name = "n1"
data = "/data"
front.platform = "/platform.json"
peers.listen = "127.0.0.1:2"
keys = { ca = "/ca", cert = "/cert", key = "/key" }
control.socket = "/socket"
`))
	section("serve file", "toml", s, err)
	r, err := routing.Parse("routes.toml",
		[]byte("version = 1\n[[pool]]\nname = \"p\"\n[[rule]]\nname = \"r\"\n"))
	section("routes file", "toml", r, err)
	const minimalScenario = `duration = "1s"
[[class]]
name = "c"
effect = "retryable"
aim = "1s"
give_up = "2s"
worth = 1
size = { dist = "constant", mean = 0.1 }
[[workers]]
count = 1
[[clients]]
team = "t"
rate = 1
`
	sc, err := emulate.ParseScenario("scenario.toml", []byte(minimalScenario))
	section("scenario", "toml", sc, err)
	write("scenario.toml", minimalScenario)
	plan, err := experiment.ReadPlan(write("plan.toml",
		"name = \"x\"\nbase = \"scenario.toml\"\n[[factor]]\nname = \"f\"\nkey = \"nodes\"\nlevels = [1]\n"))
	section("plan", "toml", plan, err)
	golden.Compare(t, "defaults.txt", b.String())
}

// writeValues writes the keys and values of a decoded file.
func writeValues(b *strings.Builder, path, format string, v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			writeValues(b, path, format, v.Elem())
		}
	case reflect.Struct:
		for i := range v.NumField() {
			f := v.Type().Field(i)
			name, _, _ := strings.Cut(f.Tag.Get(format), ",")
			if name == "-" || !f.IsExported() {
				continue
			}
			if name == "" {
				name = strings.ToLower(f.Name)
			}
			writeValues(b, strings.TrimPrefix(path+"."+name, "."), format, v.Field(i))
		}
	case reflect.Slice:
		if v.Len() == 0 {
			fmt.Fprintf(b, "  %s[] none\n", path)
		}
		for i := range v.Len() {
			writeValues(b, fmt.Sprintf("%s[%d]", path, i), format, v.Index(i))
		}
	default:
		x := v.Interface()
		if _, ok := reflect.New(v.Type()).Interface().(encoding.TextUnmarshaler); ok && v.CanInt() {
			x = time.Duration(v.Int())
		}
		fmt.Fprintf(b, "  %s = %v\n", path, x)
	}
}
