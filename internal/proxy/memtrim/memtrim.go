// Package resident gives back memory that only a process's start has used.
//
// The kernel maps a program's file by windows of 64 KiB round each page that is touched. What start-up
// code and its tables have touched stays mapped, and counts as resident, though nothing at rest needs it.
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

// ReleaseFilePages drops the pages of this program's own file that can only be read, and gives how many
// bytes of address space that is. Those that are needed come back from the page cache, one window at a time.
//
// Hazard: a page that can be written to may differ from the file, and would be lost. Only mappings
// without write permission are dropped; code that runs meanwhile is mapped anew under it.
func ReleaseFilePages() (bytes int, err error) {
	program, err := os.Readlink("/proc/self/exe")
	if err != nil {
		return 0, err
	}
	maps, err := os.ReadFile("/proc/self/maps")
	if err != nil {
		return 0, err
	}
	for _, m := range readOnly(maps, program) {
		// The address is the kernel's, of a mapping that lasts as long as the process.
		part := unsafe.Slice((*byte)(*(*unsafe.Pointer)(unsafe.Pointer(&m.from))), m.to-m.from)
		if bad := unix.Madvise(part, unix.MADV_DONTNEED); bad != nil {
			err = errors.Join(err, fmt.Errorf("giving back %x: %w", m.from, bad))
			continue
		}
		bytes += len(part)
	}
	return bytes, err
}

type mapping struct{ from, to uintptr }

// readOnly finds the mappings of a file that can't be written to.
func readOnly(maps []byte, file string) (list []mapping) {
	sc := bufio.NewScanner(bytes.NewReader(maps))
	for sc.Scan() {
		f := strings.Fields(sc.Text()) // from-to, permissions, offset, device, inode, path
		if len(f) < 6 || strings.Join(f[5:], " ") != file || len(f[1]) < 4 || f[1][0] != 'r' ||
			f[1][1] == 'w' {
			continue
		}
		a, b, _ := strings.Cut(f[0], "-")
		from, bad := strconv.ParseUint(a, 16, 64)
		to, worse := strconv.ParseUint(b, 16, 64)
		if bad == nil && worse == nil && from < to {
			list = append(list, mapping{uintptr(from), uintptr(to)})
		}
	}
	return list
}
