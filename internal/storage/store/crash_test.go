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

// crashRun drives a store through random operations and faults, and compares what it returns when it is
// opened again with what it acknowledged.
type crashRun struct {
	t            *testing.T
	seed         uint64
	rng          *rand.Rand
	fs           *faultfs.FS
	segmentBytes int64
	store        *store.Store
	all          []string // every record ever appended, by its number
	durable      int      // how many of them must be back
	inSnapshot   int      // how many of them the snapshot holds
	operations   []string // so far
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

// fillDisk lets the disk fill up within some bytes, once in so many calls.
func (r *crashRun) fillDisk(onceIn, freeBytes int) {
	if r.rng.IntN(onceIn) == 0 {
		r.fs.FreeBytes = int64(r.rng.IntN(freeBytes))
	}
}

func (r *crashRun) emptyDisk() { r.fs.FreeBytes = -1 }

func (r *crashRun) log(operation ...any) {
	r.operations = append(r.operations, fmt.Sprint(operation...))
}

func (r *crashRun) append() {
	data := strings.Repeat("x", r.rng.IntN(80)) + fmt.Sprint(len(r.all))
	r.fillDisk(10, 60)
	_, err := r.store.Append(
		store.Record{Kind: 1, Data: []byte(data)},
		store.Record{Kind: 2, Data: []byte("b")},
	)
	r.emptyDisk()
	r.log("append ", err)
	if err == nil {
		n := len(r.all) + 1
		r.all = append(r.all, fmt.Sprintf("%d:1:%s", n, data), fmt.Sprintf("%d:2:b", n+1))
	} else if !errors.Is(err, syscall.ENOSPC) {
		r.t.Fatalf("seed %d: %v", r.seed, err)
	}
}

func (r *crashRun) sync() {
	r.fillDisk(12, 10)
	err := r.store.Sync()
	r.emptyDisk()
	r.log("sync")
	if err != nil {
		r.t.Fatalf("seed %d: sync: %v", r.seed, err)
	}
	r.durable = len(r.all)
}

func (r *crashRun) snapshot() {
	r.fillDisk(3, 100)
	err := r.store.WriteSnapshot([]byte(fmt.Sprint("upto ", len(r.all))))
	r.emptyDisk()
	r.log("snapshot ", err)
	r.durable = len(r.all)
	if err == nil {
		r.inSnapshot = len(r.all)
	}
}

// stop ends the store's process in one of three ways.
func (r *crashRun) stop() {
	switch r.rng.IntN(3) {
	case 0:
		r.fs.LosePower()
		r.log("power loss")
	case 1:
		r.fs.KillProcesses()
		r.log("kill")
		r.durable = len(r.all) // the kernel has it all
	default:
		must(r.t, r.store.Close())
		r.log("close")
		r.durable = len(r.all)
	}
}

// reopen opens the store and checks that everything durable is back, in order.
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
	if n < r.durable || n > len(r.all) || !slices.Equal(c.records, r.all[r.inSnapshot:n]) {
		r.t.Fatalf("seed %d: %d records are back of %d durable, %d appended\n%s", r.seed, n, r.durable,
			len(r.all), r.operations)
	}
	r.all, r.durable = r.all[:n], n
}

// Whatever happens to the machine, what was synced is back and nothing is out of order.
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
