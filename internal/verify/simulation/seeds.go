package simulation

import (
	"sync"
)

// RunSeeds plays the stories of seeds from first on, on several cores, and tells each result
// in the order of the seeds.
func RunSeeds(first uint64, count int, workers int, options func(seed uint64) Options, tell func(Result)) {
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
		tell(<-c)
	}
	wg.Wait()
}
