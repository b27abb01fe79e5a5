package faktory

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestConfigFileIsChecked(t *testing.T) {
	const listen = "listen = \"127.0.0.1:1\"\n"
	for name, c := range map[string]struct{ text, want string }{
		"minimal":            {listen, ""},
		"keys in upper case": {"Listen = \"127.0.0.1:1\"\nKeep = \"1m\"\n", ""},
		"no address":         {"jobs = 1\n", "listen must be set"},
		"unknown key":        {listen + "jbos = 1\n", "jbos"},
		"no connections":     {listen + "connections = 0\n", "a limit is out of range"},
		"short lines":        {listen + "line_bytes = 255\n", "a limit is out of range"},
		"long lines":         {listen + "line_bytes = 131073\n", "a limit is out of range"},
		"no jobs":            {listen + "jobs = 0\n", "a limit is out of range"},
		"no bytes":           {listen + "bytes = 0\n", "a limit is out of range"},
		"queue below 0":      {listen + "queue = -1\n", "a limit is out of range"},
		"keeps nothing":      {listen + "keep = \"0s\"\n", "a limit is out of range"},
		"no silence":         {listen + "silence = \"0s\"\n", "a limit is out of range"},
		"no reservation":     {listen + "reserve = \"0s\"\n", "a limit is out of range"},
		"no least":           {listen + "reserve_least = \"0s\"\n", "a limit is out of range"},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "faktory.toml")
			if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
				t.Fatal(err)
			}
			_, err := ReadConfig(path)
			if c.want == "" && err != nil ||
				c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
				t.Errorf("got error %v, want %q", err, c.want)
			}
		})
	}
}
