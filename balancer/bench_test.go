package balancer

import (
	"fmt"
	"testing"
	"time"
)

// idle is a host that does nothing but note where the request went.
type idle struct{ to WorkerID }

func (h *idle) Send(_ RequestID, w WorkerID, _ time.Duration) { h.to = w }
func (*idle) Refuse(RequestID, time.Duration)                 {}
func (*idle) Fail(RequestID)                                  {}
func (*idle) Cancel(RequestID, int)                           {}
func (*idle) Probe(WorkerID)                                  {}
func (*idle) Watch(bool)                                      {}
func (*idle) Fetch()                                          {}
func (*idle) After(time.Duration, uint64)                     {}
func (*idle) Tell(int, []byte)                                {}
func (*idle) CloseIdle(WorkerID)                              {}
func (*idle) Log(string)                                      {}

// BenchmarkRequest is one request and its outcome: one class, one zone, no troubles.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			host := &idle{}
			bal, err := New(Settings{Kinds: 1, Zones: 1, Fleet: 1, Limits: Limits{Attempts: 5},
				Classes: []Class{{Name: "c", Aim: time.Second, Deadline: 5 * time.Second, Worth: 1,
					Kind: -1}},
				Goal: Goal{Whole: 1}}, 1, host)
			if err != nil {
				b.Fatal(err)
			}
			list := make([]Worker, n)
			for i := range list {
				list[i] = Worker{ID: WorkerID(i + 1), State: Ready, Size: 1}
			}
			now := time.Hour
			bal.Members(now, Whole, list)
			b.ReportAllocs()
			for b.Loop() {
				now += 100 * time.Microsecond
				bal.Request(now, Request{ID: "r", Left: 5 * time.Second})
				bal.Outcome(now, Outcome{ID: "r", Worker: host.to, Result: OK, Took: time.Millisecond,
					Settled: true, Report: NoReport})
			}
		})
	}
}
