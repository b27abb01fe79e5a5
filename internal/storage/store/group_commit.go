package store

import "sync"

// GroupCommitter lets many goroutines, and an event loop, commit to one store. What comes while a
// sync is under way is written together and shares the next one.
type GroupCommitter struct {
	store *Store
	mu    sync.Mutex
	wake  sync.Cond
	queue []commit
	ended bool
	done  chan struct{}
}

type commit struct {
	records []Record
	told    func(first uint64, err error)
}

// mostGroup bounds a group's bytes, so that the first in it doesn't wait for ever.
const mostGroup = 4 << 20

// NewGroupCommitter takes the store over. Close gives it back.
func NewGroupCommitter(s *Store) *GroupCommitter {
	g := &GroupCommitter{store: s, done: make(chan struct{})}
	g.wake.L = &g.mu
	go g.run()
	return g
}

// CommitAsync commits records and calls told, from the group's goroutine, when they are durable
// or can't be. Posts are committed in their order.
func (g *GroupCommitter) CommitAsync(told func(first uint64, err error), records ...Record) {
	g.mu.Lock()
	if g.ended {
		g.mu.Unlock()
		told(0, ErrClosed)
		return
	}
	g.queue = append(g.queue, commit{records, told})
	g.mu.Unlock()
	g.wake.Signal()
}

// Commit commits records and waits until they are durable.
func (g *GroupCommitter) Commit(records ...Record) (uint64, error) {
	type result struct {
		first uint64
		err   error
	}
	c := make(chan result, 1)
	g.CommitAsync(func(first uint64, err error) { c <- result{first, err} }, records...)
	r := <-c
	return r.first, r.err
}

func (g *GroupCommitter) run() {
	defer close(g.done)
	for {
		g.mu.Lock()
		for len(g.queue) == 0 && !g.ended {
			g.wake.Wait()
		}
		n, bytes := 0, 0
		for n < len(g.queue) && bytes < mostGroup {
			for _, r := range g.queue[n].records {
				bytes += recordHeader + len(r.Data)
			}
			n++
		}
		batch := append([]commit(nil), g.queue[:n]...)
		g.queue = append(g.queue[:0], g.queue[n:]...)
		g.mu.Unlock()
		if n == 0 {
			return
		}
		firsts, errs := make([]uint64, n), make([]error, n)
		for i, c := range batch {
			firsts[i], errs[i] = g.store.Append(c.records...)
		}
		err := g.store.Sync()
		for i, c := range batch {
			if errs[i] == nil {
				errs[i] = err
			}
			c.told(firsts[i], errs[i])
		}
	}
}

// Close commits what was posted and ends. The store stays open.
func (g *GroupCommitter) Close() {
	g.mu.Lock()
	g.ended = true
	g.mu.Unlock()
	g.wake.Signal()
	<-g.done
}
