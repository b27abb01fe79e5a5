package store

import "sync"

// maxBatchBytes bounds the records that one sync covers, so that the first commit of a batch does not
// wait without limit.
const maxBatchBytes = 4 << 20

// GroupCommitter lets many goroutines, and an event loop, commit to one store. What arrives while a
// sync is running is written together and shares the next sync. Its methods may be called from any
// goroutine.
type GroupCommitter struct {
	store   *Store
	mu      sync.Mutex
	changed sync.Cond // pending has grown, or closed is set
	pending []pendingCommit
	closed  bool
	done    chan struct{} // closed when the committer's goroutine has ended
}

type pendingCommit struct {
	records []Record
	notify  func(firstSeq uint64, err error)
}

// bytes returns how much the commit adds to the log.
func (c pendingCommit) bytes() int {
	n := 0
	for _, r := range c.records {
		n += recordHeaderBytes + len(r.Data)
	}
	return n
}

// NewGroupCommitter starts a goroutine that has the store for itself until Close.
func NewGroupCommitter(s *Store) *GroupCommitter {
	g := &GroupCommitter{store: s, done: make(chan struct{})}
	g.changed.L = &g.mu
	go g.run()
	return g
}

// CommitAsync commits records and calls notify, on the committer's goroutine, once they are
// durable or can't be made so. Commits are made in the order of the calls. After Close it
// calls notify with ErrClosed, on the caller's goroutine.
func (g *GroupCommitter) CommitAsync(notify func(firstSeq uint64, err error), records ...Record) {
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		notify(0, ErrClosed)
		return
	}
	g.pending = append(g.pending, pendingCommit{records, notify})
	g.mu.Unlock()
	g.changed.Signal()
}

// Commit commits records, waits until they are durable and returns the sequence number of the
// first.
func (g *GroupCommitter) Commit(records ...Record) (uint64, error) {
	type result struct {
		firstSeq uint64
		err      error
	}
	results := make(chan result, 1)
	g.CommitAsync(func(firstSeq uint64, err error) { results <- result{firstSeq, err} }, records...)
	r := <-results
	return r.firstSeq, r.err
}

// run is the committer's goroutine.
func (g *GroupCommitter) run() {
	defer close(g.done)
	for {
		batch := g.nextBatch()
		if len(batch) == 0 {
			return
		}
		g.commit(batch)
	}
}

// nextBatch waits for commits and takes as many as share one sync; none, once it is closed.
func (g *GroupCommitter) nextBatch() []pendingCommit {
	g.mu.Lock()
	defer g.mu.Unlock()
	for len(g.pending) == 0 && !g.closed {
		g.changed.Wait()
	}
	n, bytes := 0, 0
	for n < len(g.pending) && bytes < maxBatchBytes {
		bytes += g.pending[n].bytes()
		n++
	}
	batch := append([]pendingCommit(nil), g.pending[:n]...)
	g.pending = append(g.pending[:0], g.pending[n:]...)
	return batch
}

// commit appends a batch, syncs once and notifies each caller.
func (g *GroupCommitter) commit(batch []pendingCommit) {
	firstSeqs, errs := make([]uint64, len(batch)), make([]error, len(batch))
	for i, c := range batch {
		firstSeqs[i], errs[i] = g.store.Append(c.records...)
	}
	err := g.store.Sync()
	for i, c := range batch {
		if errs[i] == nil {
			errs[i] = err
		}
		c.notify(firstSeqs[i], errs[i])
	}
}

// Close commits what is pending and ends the goroutine. The store stays open.
func (g *GroupCommitter) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.changed.Signal()
	<-g.done
}
