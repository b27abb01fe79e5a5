// Package memtrim trims the resident memory of a process by what only its start has used.
//
// The kernel maps a program's file by windows of 64 KiB round each page that is touched. What start-up code
// and its tables have touched stays mapped, and counts as resident, though an idle process does not need it.
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

// ReleaseFilePages drops the pages of this program's own file that can only be read, and returns how many
// bytes of address space that is. Pages that are needed come back from the page cache, one window at a time.
// It may be called from any goroutine. An error names the mappings that could not be dropped; the others
// were.
//
// Hazard: a page that can be written to may differ from the file, and would be lost. Only mappings without
// write permission are dropped; code that runs meanwhile is mapped again under it.
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
		// The address is the kernel's, of a mapping that lasts as long as the process.
		pages := unsafe.Slice((*byte)(*(*unsafe.Pointer)(unsafe.Pointer(&m.from))), m.to-m.from)
		if failed := unix.Madvise(pages, unix.MADV_DONTNEED); failed != nil {
			err = errors.Join(err, fmt.Errorf("release the mapping at %x: %w", m.from, failed))
			continue
		}
		bytes += len(pages)
	}
	return bytes, err
}

// mapping is a range of addresses, the last one excluded.
type mapping struct{ from, to uintptr }

// minMapFields is how many fields a line of /proc/self/maps has for a mapped file: the range, the
// permissions, the offset, the device, the inode and the path, which may hold blanks.
const minMapFields = 6

// readOnlyMappings finds the mappings of a file that can be read and not written to, in the text of
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

// parseRange reads a range such as 00400000-00500000.
func parseRange(text string) (mapping, bool) {
	first, last, _ := strings.Cut(text, "-")
	from, errFrom := strconv.ParseUint(first, 16, 64)
	to, errTo := strconv.ParseUint(last, 16, 64)
	return mapping{uintptr(from), uintptr(to)}, errFrom == nil && errTo == nil && from < to
}
