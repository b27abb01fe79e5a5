package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"regexp"
	"strconv"
	"strings"

	"github.com/BurntSushi/toml"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/schema"
	"moorstack/internal/tomlfile"
)

// configFile is the configuration in the form of the files that operators edit: the document and the revision
// that it is based on.
type configFile struct {
	Revision uint64 `toml:"revision" json:"revision"`
	clusterstate.Document
}

// decodeConfig decodes a revision that an instance has sent.
func decodeConfig(rev *schema.Revision) (*configFile, error) {
	d, err := clusterstate.DecodeDocument(rev.Document)
	if err != nil {
		return nil, err
	}
	return &configFile{rev.Revision, *d}, nil
}

// newestRevision, in place of a revision's number, requests the newest one.
const newestRevision uint64 = 0

// fetchConfig reads a revision from the group.
func fetchConfig(ctx context.Context, c schema.ControlClient, revision uint64) (*configFile, error) {
	rev, err := c.GetConfig(ctx, &schema.GetConfigRequest{Revision: revision})
	if err != nil {
		return nil, err
	}
	return decodeConfig(rev)
}

func writeTOML(w io.Writer, f *configFile) error {
	e := toml.NewEncoder(w)
	e.Indent = ""
	return e.Encode(f)
}

// readConfigFile reads a configuration file. It returns the file's text as well.
func readConfigFile(path string) (*configFile, []byte, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, err
	}
	f := &configFile{}
	return f, raw, tomlfile.Decode(path, raw, f)
}

var documentProblem = regexp.MustCompile(`^(class|tenant) "([^"]+)": (?:(\w+): )?`)

// locateProblem prefixes a problem with the file and, if it concerns a class or tenant found there, the line.
func locateProblem(path string, raw []byte, problem string) string {
	m := documentProblem.FindStringSubmatch(problem)
	if m == nil {
		return path + ": " + problem
	}
	lines := strings.Split(string(raw), "\n")
	block, found := -1, -1
	for i, l := range lines {
		l = strings.TrimSpace(l)
		if strings.HasPrefix(l, "[") {
			if found >= 0 {
				break
			}
			block = -1
			if l == "[["+m[1]+"]]" {
				block = i
			}
		}
		if block >= 0 && strings.HasPrefix(l, "name") && strings.Contains(l, strconv.Quote(m[2])) {
			found = i
		}
	}
	if found < 0 {
		return path + ": " + problem
	}
	for i := block + 1; i < len(lines) && !strings.HasPrefix(strings.TrimSpace(lines[i]), "["); i++ {
		if key, _, ok := strings.Cut(lines[i], "="); ok && m[3] != "" && strings.TrimSpace(key) == m[3] {
			found = i
		}
	}
	return fmt.Sprintf("%s:%d: %s", path, found+1, problem)
}
