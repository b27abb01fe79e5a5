package store

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"
)

// FS is the part of a file system that a store needs. OS is the real one; tests and
// simulations have one that loses what was not synced, fills up and fails (package faultfs).
type FS interface {
	// ListFiles returns the names of the regular files in a directory.
	ListFiles(dir string) ([]string, error)
	// MkdirAll creates a directory and its parents.
	MkdirAll(dir string) error
	// Open opens a file for reading and appending, and creates it if it isn't there.
	Open(path string) (File, error)
	// ReadFile returns a file's whole content.
	ReadFile(path string) ([]byte, error)
	// Rename replaces the file at to by the one at from.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(path string) error
	// SyncDir makes the names in a directory durable.
	SyncDir(dir string) error
	// Lock takes the exclusive lock on a file until Close, or fails at once with ErrLocked.
	Lock(path string) (io.Closer, error)
}

// File is an open file. Write appends.
type File interface {
	io.WriteCloser
	// Sync makes what was written durable.
	Sync() error
	// Truncate cuts the file off after size bytes.
	Truncate(size int64) error
}

// ErrLocked means that another process has the directory open.
var ErrLocked = errors.New("in use by another process")

// OS is the machine's file system.
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

// MkdirAll implements FS. Only the owner may read what a store holds.
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

// Lock implements FS by flock(2), which the kernel releases however the process ends.
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
