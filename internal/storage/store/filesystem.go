package store

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// FS is the part of a file system that a store needs. OS is the implementation for the
// operating system. Package faultfs has one for tests and simulations that loses unsynced
// data, runs out of space and fails.
type FS interface {
	// ListFiles returns the names of the regular files in a directory.
	ListFiles(dir string) ([]string, error)
	// MkdirAll creates a directory and its parents.
	MkdirAll(dir string) error
	// Open opens a file for reading and appending, and creates it if it does not exist.
	Open(path string) (File, error)
	// ReadFile returns the content of a file.
	ReadFile(path string) ([]byte, error)
	// Rename atomically renames a file and replaces any file that has the new name.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(path string) error
	// SyncDir makes the entries of a directory durable.
	SyncDir(dir string) error
	// Lock acquires an exclusive lock on a file, which Close releases. It fails at once with ErrLocked if the
	// file is locked.
	Lock(path string) (io.Closer, error)
}

// File is an open file. Write appends to it.
type File interface {
	io.WriteCloser
	// Sync makes everything that was written durable.
	Sync() error
	// Truncate shortens the file to size bytes.
	Truncate(size int64) error
}

// ErrLocked is returned if another process has the directory open.
var ErrLocked = errors.New("in use by another process")

// OS is the FS of the operating system.
type OS struct{}

var _ FS = OS{}

// ListFiles implements FS.
func (OS) ListFiles(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// MkdirAll implements FS. Only the owner may access a store.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, 0o700) }

// Open implements FS.
func (OS) Open(path string) (File, error) {
	return os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o600)
}

// ReadFile implements FS.
func (OS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncDir implements FS.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Lock implements FS with flock(2). The kernel releases the lock even if the process is killed.
func (OS) Lock(path string) (io.Closer, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, fmt.Errorf("%s: %w", filepath.Dir(path), ErrLocked)
		}
		return nil, fmt.Errorf("locking %s: %w", path, err)
	}
	return f, nil
}
