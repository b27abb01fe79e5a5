package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Scripts depend on the exit codes of commands: 0 success, 1 failure, 2 invalid arguments or files.
func TestExitCodesAreFrozen(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	missing := filepath.Join(dir, "none")
	for _, name := range []string{"expectations/sunday.toml", "expectations/site.json", "routes.toml"} {
		raw, err := os.ReadFile(filepath.Join("../../deploy", name))
		check(t, err)
		text := strings.ReplaceAll(string(raw), `never = [{ zone = "ruwi" }]`, `never = [{ zone = "seeb" }]`)
		check(t, os.MkdirAll(filepath.Join(dir, "deploy", filepath.Dir(name)), 0o700))
		check(t, os.WriteFile(filepath.Join(dir, "deploy", name), []byte(text), 0o600))
	}
	failing := filepath.Join(dir, "deploy/expectations/sunday.toml")
	broken := filepath.Join(dir, "broken.toml")
	check(t, os.WriteFile(broken, []byte("platform = \"x\"\nno_such_key = 1\n"), 0o600))
	for _, c := range []struct {
		args string
		code int
	}{
		{"", 1}, // BALANCER_CONFIG is not set
		{"help", 0}, {"version", 0}, {"--help", 0}, {"store", 0}, {"route", 0}, {"config", 0},
		{"nosuch", 2}, {"cluster nosuch", 2}, {"prove nosuch", 2}, {"--nosuch", 2}, {"version x", 2},
		{"--log-level loud", 2}, {"--log-format xml", 2}, {"prove config --seeds x", 2},
		{"call", 2}, {"call 127.0.0.1:1 status --output xml", 2}, {"call 127.0.0.1:1 status", 1},
		{"serve", 2}, {"serve --config " + missing, 2}, {"serve --config " + broken, 2},
		{"-faktory " + missing, 1}, {"-faktory=" + missing, 1}, // from before there were subcommands
		{"store check", 2}, {"store check " + missing, 1}, {"store check " + dir, 1},
		{"expect", 2}, {"expect " + missing, 2}, {"expect " + broken, 2}, {"expect " + failing, 1},
		{"emulate run " + missing, 2}, {"emulate run " + broken, 2},
		{"keys issue", 2}, {"duty show", 2}, {"cluster status --socket " + missing, 1},
		{"cluster status", 2}, {"route explain", 2}, {"config diff a", 2}, {"experiment run", 1},
	} {
		cmd := exec.Command(program, strings.Fields(c.args)...)
		cmd.Dir = dir
		for _, v := range os.Environ() {
			if !strings.HasPrefix(v, "BALANCER_") {
				cmd.Env = append(cmd.Env, v)
			}
		}
		out, err := cmd.CombinedOutput()
		code := 0
		if exit := (*exec.ExitError)(nil); errors.As(err, &exit) {
			code = exit.ExitCode()
		} else if err != nil {
			t.Fatal(err)
		}
		if code != c.code {
			t.Errorf("moorstack %s: exit code %d, want %d; output %s", c.args, code, c.code, out)
		}
	}
}
