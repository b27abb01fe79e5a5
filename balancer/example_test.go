package balancer_test

import (
	"fmt"
	"time"

	"moorstack/balancer"
)

// printer is a host that only prints what it is asked to do.
type printer struct{ sent balancer.WorkerID }

func (p *printer) Send(id balancer.RequestID, w balancer.WorkerID, until time.Duration) {
	p.sent = w
	fmt.Printf("send %s to worker %d\n", id, w)
}
func (p *printer) Refuse(id balancer.RequestID, after time.Duration) {
	fmt.Println("refuse", id, after > 0)
}
func (p *printer) Fail(id balancer.RequestID)          { fmt.Println("fail", id) }
func (p *printer) Cancel(id balancer.RequestID, n int) {}
func (p *printer) Probe(w balancer.WorkerID)           {}
func (p *printer) Watch(on bool)                       {}
func (p *printer) Fetch()                              {}
func (p *printer) After(d time.Duration, token uint64) {}
func (p *printer) Tell(peer int, data []byte)          {}
func (p *printer) CloseIdle(w balancer.WorkerID)       {}
func (p *printer) Log(text string)                     {}

// A dispatcher tells the balancer what happens and does what it is asked.
func Example() {
	settings := balancer.Settings{
		Classes: []balancer.Class{{
			Name: "resize", Aim: 200 * time.Millisecond, Stretch: 2, Deadline: 5 * time.Second,
			Worth: 1, Effect: balancer.Safe, Kind: -1,
		}},
		Limits: balancer.Limits{Attempts: 3, RetryAfter: true, MaxRetryAfter: time.Second},
		Goal:   balancer.Goal{Whole: 1},
	}
	host := &printer{}
	b, err := balancer.New(settings, 1, host)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Second
	b.Request(now, balancer.Request{ID: "a", Left: 5 * time.Second}) // no worker is known yet
	b.Members(now, balancer.Whole, []balancer.Worker{{ID: 7, State: balancer.Ready}})
	b.Request(now, balancer.Request{ID: "b", Left: 5 * time.Second})
	now += 50 * time.Millisecond
	b.Outcome(now, balancer.Outcome{ID: "b", Worker: host.sent, Result: balancer.OK, Settled: true,
		Report: balancer.NoReport})
	// Output:
	// refuse a true
	// send b to worker 7
}
