// Package backups keeps backup files in a directory that several instances may write to, one at a
// time.
//
// The directory remembers the newest fencing token that has written there, under a lock of the
// kernel's: an instance that no longer holds the task's lease, and was stopped between its check and
// its write, is rejected.
package backups

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

// The files of a directory.
const (
	filePrefix       = "agreed-"
	fileSuffix       = ".backup"
	periodLayout     = "20060102T150405Z" // of the time in a file's name, in UTC
	fenceFile        = "fence.json"
	lockFile         = "lock"
	temporarySuffix  = ".tmp"
	directoryMode    = 0o700 // backups are for their owner alone
	fileMode         = 0o600
	minimumRetention = 1 // backups that stay, whatever is requested
)

// ErrLeaseExpired means that the requester's lease ended before the backup was written.
var ErrLeaseExpired = errors.New("the lease is over")

// Dir is a directory of backups. Its methods may be called from any goroutine and any process.
type Dir struct {
	Path   string
	Verify func([]byte) error // fails unless a file's content is a complete backup
}

// WriteRequest is a request for the backup of a period.
type WriteRequest struct {
	Group        string // the group's identity; a directory belongs to one group
	Task         string // the leased task under which the request is made
	FencingToken uint64 // of the task's lease
	Period       time.Time
	Content      []byte
	Retain       int         // how many backups stay
	LeaseValid   func() bool // checked once more under the lock
}

// Result is the backup of a period, as the leased task's state records it.
type Result struct {
	Period time.Time `json:"period"`
	File   string    `json:"file"`   // its name in the directory
	SHA256 string    `json:"sha256"` // of its content, in hexadecimal
}

// Write writes the backup of a period, verifies what it has written, and removes the oldest ones. A
// valid backup of the period that exists already stays and is the result: its writer may have
// stopped before it could record it.
//
// It waits for other writers. It fails with a *leasedtask.StaleTokenError if a newer fencing token has
// written here, and with ErrLeaseExpired if the lease has ended.
func (d Dir) Write(r WriteRequest) (Result, error) {
	unlock, err := d.lock()
	if err != nil {
		return Result{}, err
	}
	defer unlock()
	if err := d.admit(r); err != nil {
		return Result{}, err
	}
	// Hazard: it may have waited for the lock, or stood still, for longer than its lease.
	if !r.LeaseValid() {
		return Result{}, ErrLeaseExpired
	}
	name := filePrefix + r.Period.UTC().Format(periodLayout) + fileSuffix
	path := filepath.Join(d.Path, name)
	if existing, err := os.ReadFile(path); err == nil && d.Verify(existing) == nil {
		return Result{r.Period, name, digest(existing)}, nil
	}
	if err := d.replaceFile(name, r.Content); err != nil {
		return Result{}, err
	}
	written, err := os.ReadFile(path)
	if err == nil {
		err = d.Verify(written)
	}
	if err != nil {
		return Result{}, fmt.Errorf("%s can't be read back: %w", path, err)
	}
	return Result{r.Period, name, digest(written)}, d.removeOldest(r.Retain)
}

// lock makes the directory if there is none, and waits until no other process writes to it.
func (d Dir) lock() (unlock func(), err error) {
	if err := os.MkdirAll(d.Path, directoryMode); err != nil {
		return nil, err
	}
	f, err := os.OpenFile(filepath.Join(d.Path, lockFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX); err != nil {
		f.Close()
		return nil, fmt.Errorf("locking %s: %w", d.Path, err)
	}
	return func() { f.Close() }, nil // the kernel releases the lock with the descriptor
}

// digest returns a content's SHA-256 in hexadecimal.
func digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// replaceFile puts a complete file in the place of the one of that name, or leaves that unchanged.
func (d Dir) replaceFile(name string, b []byte) error {
	tmp := filepath.Join(d.Path, name+temporarySuffix)
	f, err := os.OpenFile(tmp, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, fileMode)
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
	dir, err := os.Open(d.Path)
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}

// List returns the names of the backups in the directory, oldest first.
func (d Dir) List() ([]string, error) {
	entries, err := os.ReadDir(d.Path)
	if err != nil {
		return nil, err
	}
	var list []string
	for _, e := range entries {
		if isBackup(e.Name()) {
			list = append(list, e.Name())
		}
	}
	slices.Sort(list)
	return list, nil
}

// isBackup reports whether a file has the name of a backup.
func isBackup(name string) bool {
	period, hasSuffix := strings.CutSuffix(name, fileSuffix)
	period, hasPrefix := strings.CutPrefix(period, filePrefix)
	if !hasSuffix || !hasPrefix {
		return false
	}
	_, err := time.Parse(periodLayout, period)
	return err == nil
}

// removeOldest removes the oldest backups. Files with other names are left alone.
func (d Dir) removeOldest(retain int) error {
	list, err := d.List()
	if err != nil {
		return err
	}
	for len(list) > max(retain, minimumRetention) {
		if err := os.Remove(filepath.Join(d.Path, list[0])); err != nil {
			return err
		}
		list = list[1:]
	}
	return nil
}
