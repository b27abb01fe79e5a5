// Package faultfs is a file system in memory that fails as real ones do: what was not
// synced is lost at a crash, wholly or in part and not in order, writes come short when
// the disk is full, and syncs fail. All of it is drawn from a seed or asked for.
package faultfs

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"moorstack/internal/storage/store"
)

// FS is the file system of one machine.
type FS struct {
	rng    *rand.Rand
	files  map[string]*data // as the processes see them
	stable map[string]*data // the names that would be there after a crash
	locked map[string]bool
	epoch  int // crashes so far: a handle from before one is dead

	FreeBytes    int64 // bytes that may still be written; below 0: no limit
	FailNextSync bool  // the next sync fails
	IgnoreSyncs  bool  // syncs do nothing and report success: a disk, or a build, that lies
	SyncCalls    int
	WriteCalls   int
}

type data struct {
	bytes  []byte
	synced []byte // what a crash can't take
}

var _ store.FS = (*FS)(nil)

// ErrCrashed is what a handle from before a crash answers.
var ErrCrashed = errors.New("the machine has crashed")

// New makes an empty file system.
func New(seed uint64) *FS {
	return &FS{rng: rand.New(rand.NewPCG(seed, 0xf5)), files: map[string]*data{}, stable: map[string]*data{},
		locked: map[string]bool{}, FreeBytes: -1}
}

// LosePower takes the power away: names and bytes that were not synced may be lost. Of a
// file's unsynced end a prefix stays, or else blocks of it stay and others are zero.
func (f *FS) LosePower() {
	f.epoch++
	f.locked = map[string]bool{}
	names := make([]string, 0, len(f.files))
	for name := range f.files {
		names = append(names, name)
	}
	slices.Sort(names)
	after := map[string]*data{}
	for name, d := range f.stable {
		after[name] = d
	}
	for _, name := range names {
		if f.stable[name] != f.files[name] && f.rng.IntN(2) == 0 {
			after[name] = f.files[name] // the name may have been written out by itself
		}
	}
	seen := map[*data]bool{}
	kept := make([]string, 0, len(after))
	for name := range after {
		kept = append(kept, name)
	}
	slices.Sort(kept)
	for _, name := range kept {
		if d := after[name]; !seen[d] {
			seen[d] = true
			f.tear(d)
		}
	}
	f.files = after
	f.stable = map[string]*data{}
	for name, d := range after {
		f.stable[name] = d
	}
}

// KillProcesses ends the processes and leaves the kernel: nothing is lost but the handles.
func (f *FS) KillProcesses() {
	f.epoch++
	f.locked = map[string]bool{}
}

func (f *FS) tear(d *data) {
	// What was truncated and not synced may be back; what was appended may be gone.
	n := len(d.synced)
	if len(d.bytes) < n || !slices.Equal(d.bytes[:n], d.synced) {
		if f.rng.IntN(2) == 0 {
			d.bytes = slices.Clone(d.synced)
		}
	} else if rest := len(d.bytes) - n; rest > 0 {
		switch f.rng.IntN(3) {
		case 0:
			d.bytes = d.bytes[:n+f.rng.IntN(rest+1)]
		case 1:
			const block = 16
			for at := n; at < len(d.bytes); at += block {
				if f.rng.IntN(2) == 0 {
					clear(d.bytes[at:min(at+block, len(d.bytes))])
				}
			}
		}
	}
	d.synced = slices.Clone(d.bytes)
}

// Paths lists the paths.
func (f *FS) Paths() []string {
	var names []string
	for name := range f.files {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Content is a file's content; changes to it are changes to the disk.
func (f *FS) Content(path string) []byte { return f.files[path].bytes }

// WriteDurable writes a file, durably.
func (f *FS) WriteDurable(path string, b []byte) {
	d := &data{bytes: slices.Clone(b), synced: slices.Clone(b)}
	f.files[path], f.stable[path] = d, d
}

// EraseDisk empties the disk.
func (f *FS) EraseDisk() {
	f.KillProcesses()
	f.files, f.stable = map[string]*data{}, map[string]*data{}
}

// ListFiles implements store.FS.
func (f *FS) ListFiles(dir string) ([]string, error) {
	var names []string
	for name := range f.files {
		if filepath.Dir(name) == filepath.Clean(dir) {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

// MkdirAll implements store.FS.
func (f *FS) MkdirAll(string) error { return nil }

// Open implements store.FS.
func (f *FS) Open(path string) (store.File, error) {
	d := f.files[path]
	if d == nil {
		if f.FreeBytes == 0 {
			return nil, fmt.Errorf("open %s: %w", path, syscall.ENOSPC)
		}
		d = &data{}
		f.files[path] = d
	}
	return &file{f, d, f.epoch}, nil
}

// ReadFile implements store.FS.
func (f *FS) ReadFile(path string) ([]byte, error) {
	d := f.files[path]
	if d == nil {
		return nil, fmt.Errorf("open %s: %w", path, fs.ErrNotExist)
	}
	return slices.Clone(d.bytes), nil
}

// Rename implements store.FS.
func (f *FS) Rename(from, to string) error {
	d := f.files[from]
	if d == nil {
		return fmt.Errorf("rename %s: %w", from, fs.ErrNotExist)
	}
	delete(f.files, from)
	f.files[to] = d
	return nil
}

// Remove implements store.FS.
func (f *FS) Remove(path string) error {
	if f.files[path] == nil {
		return fmt.Errorf("remove %s: %w", path, fs.ErrNotExist)
	}
	delete(f.files, path)
	return nil
}

// SyncDir implements store.FS.
func (f *FS) SyncDir(dir string) error {
	for name := range f.stable {
		if filepath.Dir(name) == filepath.Clean(dir) && f.files[name] == nil {
			delete(f.stable, name)
		}
	}
	for name, d := range f.files {
		if filepath.Dir(name) == filepath.Clean(dir) {
			f.stable[name] = d
		}
	}
	return nil
}

type lock struct {
	f     *FS
	path  string
	epoch int
}

func (l lock) Close() error {
	if l.epoch == l.f.epoch {
		delete(l.f.locked, l.path)
	}
	return nil
}

// Lock implements store.FS.
func (f *FS) Lock(path string) (io.Closer, error) {
	if f.locked[path] {
		return nil, fmt.Errorf("%s: %w", strings.TrimSuffix(path, "/LOCK"), store.ErrLocked)
	}
	f.locked[path] = true
	return lock{f, path, f.epoch}, nil
}

type file struct {
	f     *FS
	d     *data
	epoch int
}

func (h *file) alive() error {
	if h.epoch != h.f.epoch {
		return ErrCrashed
	}
	return nil
}

func (h *file) Write(b []byte) (int, error) {
	if err := h.alive(); err != nil {
		return 0, err
	}
	h.f.WriteCalls++
	n := len(b)
	if h.f.FreeBytes >= 0 {
		n = int(min(int64(n), h.f.FreeBytes))
		h.f.FreeBytes -= int64(n)
	}
	h.d.bytes = append(h.d.bytes, b[:n]...)
	if n < len(b) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

func (h *file) Sync() error {
	if err := h.alive(); err != nil {
		return err
	}
	h.f.SyncCalls++
	if h.f.FailNextSync {
		h.f.FailNextSync = false
		return syscall.EIO
	}
	if !h.f.IgnoreSyncs {
		h.d.synced = slices.Clone(h.d.bytes)
	}
	return nil
}

func (h *file) Truncate(size int64) error {
	if err := h.alive(); err != nil {
		return err
	}
	h.d.bytes = h.d.bytes[:min(int(size), len(h.d.bytes))]
	return nil
}

func (h *file) Close() error { return h.alive() }
