// Package memtrim releases the resident memory that a process has needed only for its start.
//
// When a page of a program's file is accessed, the kernel maps a window of 64 KiB around it. Pages that only
// start-up code and its tables have accessed stay mapped and count as resident, although an idle process does
// not need them.
package memtrim

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"unsafe"

	"golang.org/x/sys/unix"
)

// ReleaseFilePages releases the read-only pages of the program's file, and returns the size of their address
// range in bytes. Pages that are needed again are mapped from the page cache, one window at a time. It may be
// called from any goroutine. The error names the mappings that could not be released; all others were.
//
// Only mappings without write permission are released: a writable page may differ from the file, and its
// content would be lost. The kernel maps pages of running code again transparently.
func ReleaseFilePages() (bytes int, err error) {
	program, err := os.Readlink("/proc/self/exe")
	if err != nil {
		return 0, err
	}
	maps, err := os.ReadFile("/proc/self/maps")
	if err != nil {
		return 0, err
	}
	for _, m := range readOnlyMappings(maps, program) {
		// The address comes from the kernel, and the mapping exists as long as the process.
		pages := unsafe.Slice((*byte)(*(*unsafe.Pointer)(unsafe.Pointer(&m.from))), m.to-m.from)
		if failed := unix.Madvise(pages, unix.MADV_DONTNEED); failed != nil {
			err = errors.Join(err, fmt.Errorf("releasing the mapping at %x: %w", m.from, failed))
			continue
		}
		bytes += len(pages)
	}
	return bytes, err
}

// mapping is an address range, in which to is exclusive.
type mapping struct{ from, to uintptr }

// minMapFields is the least number of fields in a line of /proc/self/maps for a mapped file: range,
// permissions, offset, device, inode, and path. A path that contains blanks has several fields.
const minMapFields = 6

// readOnlyMappings returns the readable mappings without write permission of a file, from the content of
// /proc/self/maps.
func readOnlyMappings(maps []byte, file string) (list []mapping) {
	lines := bufio.NewScanner(bytes.NewReader(maps))
	for lines.Scan() {
		f := strings.Fields(lines.Text())
		if len(f) < minMapFields || strings.Join(f[minMapFields-1:], " ") != file {
			continue
		}
		if p := f[1]; len(p) < 4 || p[0] != 'r' || p[1] == 'w' {
			continue
		}
		if m, ok := parseRange(f[0]); ok {
			list = append(list, m)
		}
	}
	return list
}

// parseRange parses an address range such as "00400000-00500000".
func parseRange(text string) (mapping, bool) {
	first, last, _ := strings.Cut(text, "-")
	from, errFrom := strconv.ParseUint(first, 16, 64)
	to, errTo := strconv.ParseUint(last, 16, 64)
	return mapping{uintptr(from), uintptr(to)}, errFrom == nil && errTo == nil && from < to
}
