package store_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"testing"

	"moorstack/internal/storage/faultfs"
	"moorstack/internal/storage/store"
)

// crashRun applies random operations and faults to a store. Whenever the store is reopened, it compares the
// records that the store returns with those that it has acknowledged.
type crashRun struct {
	t            *testing.T
	seed         uint64
	rng          *rand.Rand
	fs           *faultfs.FS
	segmentBytes int64
	store        *store.Store
	appended     []string // every record that the log may hold, by index
	durable      int      // how many of them must be returned
	inSnapshot   int      // how many of them the snapshot holds
	operations   []string // for error messages
}

func newCrashRun(t *testing.T, seed uint64) *crashRun {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 1))
	r := &crashRun{t: t, seed: seed, rng: rng, fs: faultfs.New(seed),
		segmentBytes: int64(200 + rng.IntN(2000))}
	var err error
	r.store, _, err = open(t, r.fs, r.segmentBytes)
	must(t, err)
	return r
}

// maybeFillDisk limits the free space to a random value below freeBytes, once in onceIn calls on average.
func (r *crashRun) maybeFillDisk(onceIn, freeBytes int) {
	if r.rng.IntN(onceIn) == 0 {
		r.fs.FreeBytes = int64(r.rng.IntN(freeBytes))
	}
}

func (r *crashRun) freeDiskSpace() { r.fs.FreeBytes = -1 }

func (r *crashRun) log(operation ...any) {
	r.operations = append(r.operations, fmt.Sprint(operation...))
}

func (r *crashRun) append() {
	data := strings.Repeat("x", r.rng.IntN(80)) + fmt.Sprint(len(r.appended))
	r.maybeFillDisk(10, 60)
	_, err := r.store.Append(
		store.Record{Kind: 1, Data: []byte(data)},
		store.Record{Kind: 2, Data: []byte("b")},
	)
	r.freeDiskSpace()
	r.log("append ", err)
	if err == nil {
		n := len(r.appended) + 1
		r.appended = append(r.appended, fmt.Sprintf("%d:1:%s", n, data), fmt.Sprintf("%d:2:b", n+1))
	} else if !errors.Is(err, syscall.ENOSPC) {
		r.t.Fatalf("seed %d: %v", r.seed, err)
	}
}

func (r *crashRun) sync() {
	r.maybeFillDisk(12, 10)
	err := r.store.Sync()
	r.freeDiskSpace()
	r.log("sync")
	if err != nil {
		r.t.Fatalf("seed %d: sync: %v", r.seed, err)
	}
	r.durable = len(r.appended)
}

func (r *crashRun) snapshot() {
	r.maybeFillDisk(3, 100)
	err := r.store.WriteSnapshot([]byte(fmt.Sprint("upto ", len(r.appended))))
	r.freeDiskSpace()
	r.log("snapshot ", err)
	r.durable = len(r.appended)
	if err == nil {
		r.inSnapshot = len(r.appended)
	}
}

// stop simulates a power loss, kills the process, or closes the store.
func (r *crashRun) stop() {
	switch r.rng.IntN(3) {
	case 0:
		r.fs.LosePower()
		r.log("power loss")
	case 1:
		r.fs.KillProcesses()
		r.log("kill")
		r.durable = len(r.appended) // the kernel has all the written data
	default:
		must(r.t, r.store.Close())
		r.log("close")
		r.durable = len(r.appended)
	}
}

// reopen opens the store and checks that it returns all durable records, in order.
func (r *crashRun) reopen() {
	var c content
	var err error
	if r.store, c, err = open(r.t, r.fs, r.segmentBytes); err != nil {
		r.t.Fatalf("seed %d: %v\n%s", r.seed, err, r.operations)
	}
	if c.snapshot != "" {
		fmt.Sscanf(c.snapshot, "upto %d", &r.inSnapshot)
	}
	n := r.inSnapshot + len(c.records)
	if n < r.durable || n > len(r.appended) || !slices.Equal(c.records, r.appended[r.inSnapshot:n]) {
		r.t.Fatalf("seed %d: the store returned %d records, of %d durable and %d appended\n%s", r.seed, n,
			r.durable, len(r.appended), r.operations)
	}
	r.appended, r.durable = r.appended[:n], n
}

// After power losses, killed processes and full disks, all synced records must be returned, in order.
func TestSyncedRecordsSurviveRandomCrashes(t *testing.T) {
	for seed := range uint64(500) {
		r := newCrashRun(t, seed)
		for range 120 {
			switch draw := r.rng.IntN(20); {
			case draw < 9:
				r.append()
			case draw < 14:
				r.sync()
			case draw < 15:
				r.snapshot()
			default:
				r.stop()
				r.reopen()
			}
		}
	}
}
