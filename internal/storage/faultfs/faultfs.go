// Package faultfs is an in-memory file system that fails as real ones do: what was not
// synced is lost at a power failure, wholly or in part and not in order, writes come short
// when the disk is full, and syncs fail. Faults are drawn from a seed or requested by the
// caller. It has no locks: one goroutine uses it at a time.
package faultfs

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"moorstack/internal/storage/store"
)

// tornBlockBytes is the granularity in which parts of an unsynced write survive a power failure. Real
// disks have 512 or 4096; it is small here so that short records are torn too.
const tornBlockBytes = 16

// unlimited is the value of FS.FreeBytes that sets no bound.
const unlimited = -1

// FS is the file system of one machine.
type FS struct {
	rng         *rand.Rand
	inodes      map[string]*inode // by path, as the processes see them
	stable      map[string]*inode // the paths that would be there after a power failure
	locked      map[string]bool
	incarnation int // of the processes: a handle from an earlier one is dead

	FreeBytes    int64 // bytes that may still be written; below 0: no limit
	FailNextSync bool  // the next sync fails
}

// inode is a file's content.
type inode struct {
	bytes  []byte
	synced []byte // what a power failure can't take
}

var _ store.FS = (*FS)(nil)

// ErrCrashed is returned by a handle from before LosePower or KillProcesses.
var ErrCrashed = errors.New("the machine has crashed")

// New makes an empty file system without a bound on its size.
func New(seed uint64) *FS {
	return &FS{rng: rand.New(rand.NewPCG(seed, 0xf5)), inodes: map[string]*inode{},
		stable: map[string]*inode{}, locked: map[string]bool{}, FreeBytes: unlimited}
}

// LosePower cuts the power: names and bytes that were not synced may be lost. Of a file's
// unsynced end a prefix stays, or else blocks of it stay and others are zero.
func (f *FS) LosePower() {
	f.KillProcesses()
	after := maps.Clone(f.stable)
	for _, path := range f.Paths() {
		if f.stable[path] != f.inodes[path] && f.rng.IntN(2) == 0 {
			after[path] = f.inodes[path] // the kernel may have written the name out by itself
		}
	}
	torn := map[*inode]bool{}
	for _, path := range slices.Sorted(maps.Keys(after)) {
		if n := after[path]; !torn[n] {
			torn[n] = true
			f.tear(n)
		}
	}
	f.inodes = after
	f.stable = maps.Clone(after)
}

// KillProcesses ends the processes and leaves the kernel running: only the handles and locks
// are lost.
func (f *FS) KillProcesses() {
	f.incarnation++
	f.locked = map[string]bool{}
}

// tear takes unsynced changes of a file's content back, wholly or in part.
func (f *FS) tear(n *inode) {
	synced := len(n.synced)
	if len(n.bytes) < synced || !slices.Equal(n.bytes[:synced], n.synced) {
		// It was truncated and not synced: the old content may be back.
		if f.rng.IntN(2) == 0 {
			n.bytes = slices.Clone(n.synced)
		}
	} else if appended := len(n.bytes) - synced; appended > 0 {
		switch f.rng.IntN(3) {
		case 0:
			n.bytes = n.bytes[:synced+f.rng.IntN(appended+1)]
		case 1:
			for start := synced; start < len(n.bytes); start += tornBlockBytes {
				if f.rng.IntN(2) == 0 {
					clear(n.bytes[start:min(start+tornBlockBytes, len(n.bytes))])
				}
			}
		}
	}
	n.synced = slices.Clone(n.bytes)
}

// Paths lists the files, sorted.
func (f *FS) Paths() []string { return slices.Sorted(maps.Keys(f.inodes)) }

// Content returns a file's bytes; changes to them are changes to the disk.
func (f *FS) Content(path string) []byte { return f.inodes[path].bytes }

// WriteDurable writes a whole file that survives a power failure.
func (f *FS) WriteDurable(path string, b []byte) {
	n := &inode{bytes: slices.Clone(b), synced: slices.Clone(b)}
	f.inodes[path], f.stable[path] = n, n
}

// EraseDisk kills the processes and removes all files.
func (f *FS) EraseDisk() {
	f.KillProcesses()
	f.inodes, f.stable = map[string]*inode{}, map[string]*inode{}
}

// ListFiles implements store.FS.
func (f *FS) ListFiles(dir string) ([]string, error) {
	var names []string
	for path := range f.inodes {
		if inDir(path, dir) {
			names = append(names, filepath.Base(path))
		}
	}
	slices.Sort(names)
	return names, nil
}

func inDir(path, dir string) bool { return filepath.Dir(path) == filepath.Clean(dir) }

// MkdirAll implements store.FS.
func (f *FS) MkdirAll(string) error { return nil }

// Open implements store.FS. On a full disk it can't create a file.
func (f *FS) Open(path string) (store.File, error) {
	n := f.inodes[path]
	if n == nil {
		if f.FreeBytes == 0 {
			return nil, fmt.Errorf("open %s: %w", path, syscall.ENOSPC)
		}
		n = &inode{}
		f.inodes[path] = n
	}
	return &handle{f, n, f.incarnation}, nil
}

// ReadFile implements store.FS.
func (f *FS) ReadFile(path string) ([]byte, error) {
	n := f.inodes[path]
	if n == nil {
		return nil, fmt.Errorf("open %s: %w", path, fs.ErrNotExist)
	}
	return slices.Clone(n.bytes), nil
}

// Rename implements store.FS.
func (f *FS) Rename(from, to string) error {
	n := f.inodes[from]
	if n == nil {
		return fmt.Errorf("rename %s: %w", from, fs.ErrNotExist)
	}
	delete(f.inodes, from)
	f.inodes[to] = n
	return nil
}

// Remove implements store.FS.
func (f *FS) Remove(path string) error {
	if f.inodes[path] == nil {
		return fmt.Errorf("remove %s: %w", path, fs.ErrNotExist)
	}
	delete(f.inodes, path)
	return nil
}

// SyncDir implements store.FS.
func (f *FS) SyncDir(dir string) error {
	for path := range f.stable {
		if inDir(path, dir) && f.inodes[path] == nil {
			delete(f.stable, path)
		}
	}
	for path, n := range f.inodes {
		if inDir(path, dir) {
			f.stable[path] = n
		}
	}
	return nil
}

// lock is a lock that a process holds.
type lock struct {
	fs          *FS
	path        string
	incarnation int
}

// Close releases the lock, unless its process has been killed.
func (l lock) Close() error {
	if l.incarnation == l.fs.incarnation {
		delete(l.fs.locked, l.path)
	}
	return nil
}

// Lock implements store.FS.
func (f *FS) Lock(path string) (io.Closer, error) {
	if f.locked[path] {
		return nil, fmt.Errorf("%s: %w", strings.TrimSuffix(path, "/LOCK"), store.ErrLocked)
	}
	f.locked[path] = true
	return lock{f, path, f.incarnation}, nil
}

// handle is an open file.
type handle struct {
	fs          *FS
	inode       *inode
	incarnation int
}

// usable fails once the handle's process has been killed.
func (h *handle) usable() error {
	if h.incarnation != h.fs.incarnation {
		return ErrCrashed
	}
	return nil
}

// Write implements store.File. On a disk that fills up it writes a part.
func (h *handle) Write(b []byte) (int, error) {
	if err := h.usable(); err != nil {
		return 0, err
	}
	n := len(b)
	if h.fs.FreeBytes >= 0 {
		n = int(min(int64(n), h.fs.FreeBytes))
		h.fs.FreeBytes -= int64(n)
	}
	h.inode.bytes = append(h.inode.bytes, b[:n]...)
	if n < len(b) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

// Sync implements store.File.
func (h *handle) Sync() error {
	if err := h.usable(); err != nil {
		return err
	}
	if h.fs.FailNextSync {
		h.fs.FailNextSync = false
		return syscall.EIO
	}
	h.inode.synced = slices.Clone(h.inode.bytes)
	return nil
}

// Truncate implements store.File.
func (h *handle) Truncate(size int64) error {
	if err := h.usable(); err != nil {
		return err
	}
	h.inode.bytes = h.inode.bytes[:min(int(size), len(h.inode.bytes))]
	return nil
}

// Close implements store.File.
func (h *handle) Close() error { return h.usable() }
