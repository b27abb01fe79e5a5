// Package backups keeps files of backups in a directory that several may write to, one at a time.
//
// The directory remembers the newest fencing number that has written there, under a lock of the
// kernel's: one that holds the duty no more, and was stopped between its look and its write, is refused.
package backups

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"moorstack/internal/cluster/leasedtask"
)

// Dir is a directory of backups.
type Dir struct {
	Path   string
	Verify func([]byte) error // whether a file's content is a whole backup
}

// WriteRequest is that a backup be kept.
type WriteRequest struct {
	Group        string
	Task         string
	FencingToken uint64 // the fencing number
	Period       time.Time
	Content      []byte
	Retain       int         // how many stay
	LeaseValid   func() bool // asked once more under the lock
}

// Result is what was done, as it is noted in the agreed state.
type Result struct {
	Period time.Time `json:"period"`
	File   string    `json:"file"`
	SHA256 string    `json:"sha256"`
}

// ErrLeaseExpired is that the holder's time was over before it wrote.
var ErrLeaseExpired = errors.New("the lease is over")

// fence is what the directory remembers.
type fence struct {
	Group   string            `json:"group"`
	Numbers map[string]uint64 `json:"numbers"`
}

const (
	suffix    = ".backup"
	layout    = "20060102T150405Z"
	fenceFile = "fence.json"
	lockFile  = "lock"
)

// Write writes the backup of a period, verifies what it has written, and drops the oldest. One that
// is there already stays, and is what was kept: whoever wrote it could not say so any more.
func (d Dir) Write(r WriteRequest) (Result, error) {
	if err := os.MkdirAll(d.Path, 0o700); err != nil {
		return Result{}, err
	}
	lock, err := os.OpenFile(filepath.Join(d.Path, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return Result{}, err
	}
	defer lock.Close() // with it the lock goes
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX); err != nil {
		return Result{}, fmt.Errorf("locking %s: %w", d.Path, err)
	}
	if err := d.admit(r); err != nil {
		return Result{}, err
	}
	// Hazard: it may have waited for the lock, or stood still, for longer than its lease.
	if !r.LeaseValid() {
		return Result{}, ErrLeaseExpired
	}
	name := "agreed-" + r.Period.UTC().Format(layout) + suffix
	if there, err := os.ReadFile(filepath.Join(d.Path, name)); err == nil && d.Verify(there) == nil {
		return Result{r.Period, name, digest(there)}, nil
	}
	if err := d.write(name, r.Content); err != nil {
		return Result{}, err
	}
	written, err := os.ReadFile(filepath.Join(d.Path, name))
	if err == nil {
		err = d.Verify(written)
	}
	if err != nil {
		return Result{}, fmt.Errorf("%s can't be read back: %w", filepath.Join(d.Path, name), err)
	}
	return Result{r.Period, name, digest(written)}, d.drop(r.Retain)
}

func digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// admit refuses an old number, and remembers a new one before anything is written under it.
func (d Dir) admit(r WriteRequest) error {
	path := filepath.Join(d.Path, fenceFile)
	var f fence
	raw, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(raw, &f)
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return fmt.Errorf("%s: %w; if no other group writes here, remove it", path, err)
	}
	if f.Group != "" && f.Group != r.Group {
		return fmt.Errorf("%s is of the group %s, not %s; give each its own directory, or remove it", path,
			f.Group, r.Group)
	}
	numbers := leasedtask.NewFence(f.Numbers)
	if err := numbers.Admit(r.Task, r.FencingToken); err != nil {
		return err
	}
	if f.Numbers[r.Task] == r.FencingToken {
		return nil
	}
	if raw, err = json.Marshal(fence{r.Group, numbers.NewestTokens()}); err != nil {
		return err
	}
	return d.write(fenceFile, raw)
}

// write puts a whole file in the place of one, or leaves that.
func (d Dir) write(name string, b []byte) error {
	tmp := filepath.Join(d.Path, name+".tmp")
	f, err := os.OpenFile(tmp, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	err = errors.Join(err, f.Close())
	if err == nil {
		err = os.Rename(tmp, filepath.Join(d.Path, name))
	}
	if err != nil {
		return errors.Join(err, os.Remove(tmp))
	}
	at, err := os.Open(d.Path)
	if err != nil {
		return err
	}
	defer at.Close()
	return at.Sync()
}

// List names the backups that are there, the oldest first.
func (d Dir) List() ([]string, error) {
	entries, err := os.ReadDir(d.Path)
	if err != nil {
		return nil, err
	}
	var list []string
	for _, e := range entries {
		name, ok := strings.CutSuffix(e.Name(), suffix)
		if at, is := strings.CutPrefix(name, "agreed-"); ok && is {
			if _, err := time.Parse(layout, at); err == nil {
				list = append(list, e.Name())
			}
		}
	}
	slices.Sort(list)
	return list, nil
}

// drop removes the oldest. What has another name than a backup of ours is left alone.
func (d Dir) drop(keep int) error {
	list, err := d.List()
	if err != nil {
		return err
	}
	for len(list) > max(keep, 1) {
		if err := os.Remove(filepath.Join(d.Path, list[0])); err != nil {
			return err
		}
		list = list[1:]
	}
	return nil
}
