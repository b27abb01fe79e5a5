package brain_test

import (
	"fmt"
	"time"

	"moorstack/brain"
)

// printer is a host that only prints what it is asked to do.
type printer struct{ sent brain.WorkerID }

func (p *printer) Send(id brain.RequestID, w brain.WorkerID, until time.Duration) {
	p.sent = w
	fmt.Printf("send %s to worker %d\n", id, w)
}
func (p *printer) Refuse(id brain.RequestID, after time.Duration) {
	fmt.Println("refuse", id, after > 0)
}
func (p *printer) Fail(id brain.RequestID)             { fmt.Println("fail", id) }
func (p *printer) Cancel(id brain.RequestID, n int)    {}
func (p *printer) Probe(w brain.WorkerID)              {}
func (p *printer) Watch(on bool)                       {}
func (p *printer) Fetch()                              {}
func (p *printer) After(d time.Duration, token uint64) {}
func (p *printer) Tell(peer int, data []byte)          {}
func (p *printer) CloseIdle(w brain.WorkerID)          {}
func (p *printer) Log(text string)                     {}

// A dispatcher tells the balancer what happens and does what it is asked.
func Example() {
	settings := brain.Settings{
		Classes: []brain.Class{{
			Name: "resize", Aim: 200 * time.Millisecond, Stretch: 2, Deadline: 5 * time.Second,
			Worth: 1, Effect: brain.Safe, Kind: -1,
		}},
		Limits: brain.Limits{Attempts: 3, RetryAfter: true, MaxRetryAfter: time.Second},
		Goal:   brain.Goal{Whole: 1},
	}
	host := &printer{}
	b, err := brain.New(settings, 1, host)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Second
	b.Request(now, brain.Request{ID: "a", Left: 5 * time.Second}) // no worker is known yet
	b.Members(now, brain.Whole, []brain.Worker{{ID: 7, State: brain.Ready}})
	b.Request(now, brain.Request{ID: "b", Left: 5 * time.Second})
	now += 50 * time.Millisecond
	b.Outcome(now, brain.Outcome{ID: "b", Worker: host.sent, Result: brain.OK, Settled: true,
		Report: brain.NoReport})
	// Output:
	// refuse a true
	// send b to worker 7
}
