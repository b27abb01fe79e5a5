// Package backups stores backup files in a directory that several instances may share. A file lock
// (flock) allows one writer at a time.
//
// The directory stores, per task, the newest fencing token that was used to write to it, and rejects
// older ones. Otherwise an instance that lost the task's lease while it was stalled between its check
// and its write could still write.
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

// File names, modes and limits of a backup directory.
const (
	filePrefix       = "agreed-"
	fileSuffix       = ".backup"
	periodLayout     = "20060102T150405Z" // format of the period in a file name, in UTC
	fenceFile        = "fence.json"
	lockFile         = "lock"
	temporarySuffix  = ".tmp"
	directoryMode    = 0o700 // only the owner may read backups
	fileMode         = 0o600
	minimumRetention = 1 // backups that are kept even if fewer are requested
)

// ErrLeaseExpired means that the requester's lease expired before the backup was written.
var ErrLeaseExpired = errors.New("the lease has expired")

// Dir is a directory of backups. Its methods may be called from any goroutine and any process.
type Dir struct {
	Path   string
	Verify func([]byte) error // returns an error unless the content of a file is a complete backup
}

// WriteRequest is a request to write the backup of a period.
type WriteRequest struct {
	Group        string // ID of the group; a directory belongs to one group
	Task         string // the leased task under which the request is made
	FencingToken uint64 // of the task's lease
	Period       time.Time
	Content      []byte
	Retain       int         // number of backups to keep
	LeaseValid   func() bool // checked once more while the lock is held
}

// Result describes the backup of a period, in the form in which the leased task's state records it.
type Result struct {
	Period time.Time `json:"period"`
	File   string    `json:"file"`   // name of the file in the directory
	SHA256 string    `json:"sha256"` // hash of its content, in hexadecimal
}

// Write writes the backup of a period, verifies the file, and removes the oldest backups beyond
// Retain. If a valid backup of the period exists already, Write keeps and returns it: its writer may
// have stopped before it could record it.
//
// Write waits for other writers. It fails with a *leasedtask.StaleTokenError if a newer fencing token
// was used in this directory, and with ErrLeaseExpired if the lease has expired.
func (d Dir) Write(r WriteRequest) (Result, error) {
	unlock, err := d.lock()
	if err != nil {
		return Result{}, err
	}
	defer unlock()
	if err := d.admit(r); err != nil {
		return Result{}, err
	}
	// This process may have waited for the lock, or been stalled, until after its lease expired.
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
		return Result{}, fmt.Errorf("%s can't be read back after the write: %w", path, err)
	}
	return Result{r.Period, name, digest(written)}, d.removeOldest(r.Retain)
}

// lock creates the directory if it does not exist, and waits for the lock that excludes other writers.
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
	return func() { f.Close() }, nil // closing the descriptor releases the lock
}

// digest returns the SHA-256 of b in hexadecimal.
func digest(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// replaceFile atomically creates or replaces a file. If it fails, the file has its old or its complete
// new content.
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

// List returns the file names of the backups in the directory, oldest first.
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

// isBackup reports whether a file name is that of a backup.
func isBackup(name string) bool {
	period, hasSuffix := strings.CutSuffix(name, fileSuffix)
	period, hasPrefix := strings.CutPrefix(period, filePrefix)
	if !hasSuffix || !hasPrefix {
		return false
	}
	_, err := time.Parse(periodLayout, period)
	return err == nil
}

// removeOldest removes the oldest backups until retain are left. It does not touch other files.
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
