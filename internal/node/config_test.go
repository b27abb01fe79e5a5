package node

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

const validConfig = `name = "one"
data = "data"
[front]
platform = "platform.json"
[peers]
listen = "127.0.0.1:7000"
[keys]
ca = "ca.pem"
cert = "/etc/cert.pem"
key = "key.pem"
[control]
socket = "control.sock"
`

// writeConfig writes a configuration file and returns its path.
func writeConfig(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "serve.toml")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestConfigDefaultsAndPaths(t *testing.T) {
	path := writeConfig(t, validConfig)
	c, err := ReadServeConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	dir := filepath.Dir(path)
	for _, x := range []struct{ name, got, want string }{
		{"data", c.Data, filepath.Join(dir, "data")},
		{"keys.ca", c.Keys.CA, filepath.Join(dir, "ca.pem")},
		{"keys.cert", c.Keys.Cert, "/etc/cert.pem"},
		{"audit", c.AuditLog, ""},
		{"peers.advertise", c.Peers.Advertise, "127.0.0.1:7000"},
		{"duties.out", c.LeasedTasks.Restart, restartByExit},
		{"peers.tick", time.Duration(c.Peers.Tick).String(), defaultTick.String()},
	} {
		if x.got != x.want {
			t.Errorf("%s is %q, want %q", x.name, x.got, x.want)
		}
	}
}

func TestConfigErrorsNameTheKey(t *testing.T) {
	for _, c := range []struct{ name, old, new, want string }{
		{"bad name", `"one"`, `"one two"`, ": name: "},
		{"no data", `data = "data"`, ``, ": data: it must be given"},
		{"no platform file", `"platform.json"`, `""`, ": front.platform: it must be given"},
		{"no socket", `"control.sock"`, `""`, ": control.socket: it must be given"},
		{"no port", `"127.0.0.1:7000"`, `"127.0.0.1"`,
			`: peers.listen: must be an IP address and a port other than 0, got "127.0.0.1"`},
		{"port 0", `"127.0.0.1:7000"`, `"127.0.0.1:0"`,
			`: peers.listen: must be an IP address and a port other than 0, got "127.0.0.1:0"`},
		{"calls from a port", `[keys]`, "from = \"1.2.3.4:5\"\n[keys]",
			`: peers.from: must be an IP address without a port, got "1.2.3.4:5"`},
		{"tick too short", `[keys]`, "tick = \"9ms\"\n[keys]",
			": peers.tick: must be between 10ms and 5s, got 9ms"},
		{"tick too long", `[keys]`, "tick = \"6s\"\n[keys]",
			": peers.tick: must be between 10ms and 5s, got 6s"},
		{"unknown restart", `[control]`, "[duties]\nout = \"stop\"\n[control]",
			`: duties.out: must be "end" or "start", got "stop"`},
		{"long socket path", `control.sock`, "/" + strings.Repeat("x", 107),
			": control.socket: path must be at most 107 bytes, got 108"},
		{"unknown key", `[control]`, "[control]\nport = 1", ": control.port: this key is not known here"},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := writeConfig(t, strings.Replace(validConfig, c.old, c.new, 1))
			_, err := ReadServeConfig(path)
			if err == nil || !strings.HasPrefix(err.Error(), path) || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want %q", err, c.want)
			}
		})
	}
}

func TestClockFileIsForTestsOnly(t *testing.T) {
	path := filepath.Join(t.TempDir(), "clock.json")
	if err := os.WriteFile(path, []byte(`{"wall_ns":5000,"boot_ns":0,"rate":1}`), 0o600); err != nil {
		t.Fatal(err)
	}
	c := &ServeConfig{}
	c.Test.Clock, c.Test.Zones = path, "Asia/Muscat"
	t.Setenv(TestClocksEnv, "")
	if _, err := c.wallClock(); err == nil || !strings.Contains(err.Error(), TestClocksEnv) {
		t.Errorf("test clock: got %v, want an error", err)
	}
	if _, err := c.zoneRules(); err == nil || !strings.Contains(err.Error(), TestClocksEnv) {
		t.Errorf("test zone rules: got %v, want an error", err)
	}
	t.Setenv(TestClocksEnv, "yes")
	if _, err := c.wallClock(); err != nil {
		t.Error(err)
	}
	if _, err := c.zoneRules(); err != nil {
		t.Error(err)
	}
}

func TestClockRunsAtItsRate(t *testing.T) {
	clock := testClock{Wall: int64(time.Hour), Boot: int64(time.Second), Rate: 2}
	if got, want := clock.at(4*time.Second), time.Unix(0, int64(time.Hour+6*time.Second)); !got.Equal(want) {
		t.Errorf("got %v, want %v", got, want)
	}
	for _, rate := range []string{"0", "-1", "1000001"} {
		path := writeConfig(t, `{"rate":`+rate+`}`)
		if _, err := readTestClock(path); err == nil {
			t.Errorf("rate %s was accepted", rate)
		}
	}
}
