package memtrim

import (
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
)

func TestOnlyReadOnlyMappingsOfTheProgramAreFound(t *testing.T) {
	maps := "00400000-00500000 r-xp 00000000 08:01 7 /bin/node\n" +
		"00500000-00600000 r--p 00100000 08:01 7 /bin/node\n" +
		"00600000-00700000 rw-p 00200000 08:01 7 /bin/node\n" +
		"00700000-00800000 ---p 00200000 08:01 7 /bin/node\n" +
		"00800000-00900000 r-xp 00000000 08:01 8 /lib/libc.so.6\n" +
		"7f000000-7f100000 rw-p 00000000 00:00 0\nnonsense\n"
	want := []mapping{{0x400000, 0x500000}, {0x500000, 0x600000}}
	if got := readOnlyMappings([]byte(maps), "/bin/node"); !slices.Equal(got, want) {
		t.Errorf("got mappings %x, want only the two that are readable and not writable", got)
	}
}

// residentFileBytes returns how many bytes of mapped files are resident in this process.
func residentFileBytes(t *testing.T) int {
	t.Helper()
	b, err := os.ReadFile("/proc/self/status")
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(string(b), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "RssFile:" {
			kb, _ := strconv.Atoi(f[1])
			return kb << 10
		}
	}
	t.Skip("/proc/self/status has no RssFile on this kernel")
	return 0
}

func TestReleaseFilePagesShrinksTheResidentSet(t *testing.T) {
	before := residentFileBytes(t)
	n, err := ReleaseFilePages()
	if err != nil || n == 0 {
		t.Fatalf("released %d bytes, error %v; want some bytes and no error", n, err)
	}
	if after := residentFileBytes(t); after >= before {
		t.Errorf("%d bytes of files are resident after the call, %d were before", after, before)
	}
}
