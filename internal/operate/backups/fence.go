package backups

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"moorstack/internal/cluster/leasedtask"
)

// fence is the content of the fence file: the group and the fencing tokens of a directory's writers.
type fence struct {
	Group  string            `json:"group"`
	Tokens map[string]uint64 `json:"numbers"` // newest fencing token by task
}

// admit rejects a stale fencing token, and stores a new one before the first write with that token.
func (d Dir) admit(r WriteRequest) error {
	stored, err := d.readFence(r.Group)
	if err != nil {
		return err
	}
	tokens := leasedtask.NewFence(stored.Tokens)
	if err := tokens.Admit(r.Task, r.FencingToken); err != nil {
		return err
	}
	if stored.Tokens[r.Task] == r.FencingToken {
		return nil
	}
	raw, err := json.Marshal(fence{r.Group, tokens.NewestTokens()})
	if err != nil {
		return err
	}
	return d.replaceFile(fenceFile, raw)
}

// readFence reads the fence file, or returns an empty fence if there is no file. It fails if the
// directory belongs to another group.
func (d Dir) readFence(group string) (fence, error) {
	path := filepath.Join(d.Path, fenceFile)
	var f fence
	raw, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(raw, &f)
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return f, fmt.Errorf("%s: %w; if no other group uses the directory, remove the file", path, err)
	}
	if f.Group != "" && f.Group != group {
		return f, fmt.Errorf("%s is of the group %s, not %s; use one directory per group, or remove the file",
			path, f.Group, group)
	}
	return f, nil
}
