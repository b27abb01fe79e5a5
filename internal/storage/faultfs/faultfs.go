// Package faultfs provides an in-memory file system with the faults of real ones: a power
// failure loses unsynced data completely or in part, and not necessarily from the end; writes
// are short when the disk is full; and syncs fail. Faults depend on a seed or are requested by
// the caller. The file system is not safe for concurrent use.
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

// tornBlockBytes is the size of the blocks in which an unsynced write is torn by a power failure. Real disks
// have blocks of 512 or 4096 bytes; it is smaller here so that short records are torn as well.
const tornBlockBytes = 16

// unlimited is a value of FS.FreeBytes that means no limit.
const unlimited = -1

// FS is the file system of one machine.
type FS struct {
	rng         *rand.Rand
	inodes      map[string]*inode // by path, as seen by processes
	durable     map[string]*inode // by path, the files that exist after a power failure
	locked      map[string]bool
	incarnation int // incremented when the processes are killed; older handles then fail

	FreeBytes    int64 // bytes that can still be written; negative: no limit
	FailNextSync bool  // makes the next Sync fail
}

// inode is a file's content.
type inode struct {
	bytes  []byte
	synced []byte // the content that survives a power failure
}

var _ store.FS = (*FS)(nil)

// ErrCrashed is returned by handles that were opened before LosePower or KillProcesses.
var ErrCrashed = errors.New("the machine has crashed")

// New returns an empty file system without a size limit.
func New(seed uint64) *FS {
	return &FS{rng: rand.New(rand.NewPCG(seed, 0xf5)), inodes: map[string]*inode{},
		durable: map[string]*inode{}, locked: map[string]bool{}, FreeBytes: unlimited}
}

// LosePower simulates a power failure: unsynced directory entries and data may be lost. Of the
// unsynced end of a file, either everything, a prefix, or some blocks remain; other blocks are zero.
func (f *FS) LosePower() {
	f.KillProcesses()
	after := maps.Clone(f.durable)
	for _, path := range f.Paths() {
		if f.durable[path] != f.inodes[path] && f.rng.IntN(2) == 0 {
			after[path] = f.inodes[path] // the kernel may have written the entry without a sync
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
	f.durable = maps.Clone(after)
}

// KillProcesses simulates a kill of all processes while the kernel keeps running: only handles
// and locks are lost.
func (f *FS) KillProcesses() {
	f.incarnation++
	f.locked = map[string]bool{}
}

// tear reverts unsynced changes to a file's content, completely or in part.
func (f *FS) tear(n *inode) {
	synced := len(n.synced)
	if len(n.bytes) < synced || !slices.Equal(n.bytes[:synced], n.synced) {
		// The file was truncated and not synced, so its old content may reappear.
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

// Paths returns the sorted paths of all files.
func (f *FS) Paths() []string { return slices.Sorted(maps.Keys(f.inodes)) }

// Content returns the content of a file. Changes to the slice change the file.
func (f *FS) Content(path string) []byte { return f.inodes[path].bytes }

// WriteDurable creates or replaces a file with content that survives a power failure.
func (f *FS) WriteDurable(path string, b []byte) {
	n := &inode{bytes: slices.Clone(b), synced: slices.Clone(b)}
	f.inodes[path], f.durable[path] = n, n
}

// EraseDisk kills the processes and removes all files.
func (f *FS) EraseDisk() {
	f.KillProcesses()
	f.inodes, f.durable = map[string]*inode{}, map[string]*inode{}
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

// Open implements store.FS. It can't create a file on a full disk.
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
	for path := range f.durable {
		if inDir(path, dir) && f.inodes[path] == nil {
			delete(f.durable, path)
		}
	}
	for path, n := range f.inodes {
		if inDir(path, dir) {
			f.durable[path] = n
		}
	}
	return nil
}

// lock is a process's lock on a file.
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

// handle is the open file of a process.
type handle struct {
	fs          *FS
	inode       *inode
	incarnation int
}

// checkAlive returns ErrCrashed if the handle's process has been killed.
func (h *handle) checkAlive() error {
	if h.incarnation != h.fs.incarnation {
		return ErrCrashed
	}
	return nil
}

// Write implements store.File. If the disk has not enough space, it writes only a part of b.
func (h *handle) Write(b []byte) (int, error) {
	if err := h.checkAlive(); err != nil {
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
	if err := h.checkAlive(); err != nil {
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
	if err := h.checkAlive(); err != nil {
		return err
	}
	h.inode.bytes = h.inode.bytes[:min(int(size), len(h.inode.bytes))]
	return nil
}

// Close implements store.File.
func (h *handle) Close() error { return h.checkAlive() }
