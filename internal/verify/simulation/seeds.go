package simulation

import (
	"sync"
)

// RunSeeds performs the runs of count seeds from first on, on several worker goroutines. It calls report with
// each result, in the order of the seeds and on the caller's goroutine, and returns after the last one.
func RunSeeds(first uint64, count, workers int, options func(seed uint64) Options, report func(Result)) {
	results := make([]chan Result, count)
	for i := range results {
		results[i] = make(chan Result, 1)
	}
	next := make(chan int)
	var wg sync.WaitGroup
	for range max(workers, 1) {
		wg.Go(func() {
			for i := range next {
				results[i] <- Run(options(first + uint64(i)))
			}
		})
	}
	go func() {
		for i := range count {
			next <- i
		}
		close(next)
	}()
	for _, c := range results {
		report(<-c)
	}
	wg.Wait()
}
