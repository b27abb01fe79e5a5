// Package faktory is the front for the Faktory work protocol. Producers push jobs, workers fetch and
// acknowledge them, and a broker that only this front uses decides which worker gets which job.
//
// All state is in memory and lost when the process ends. Like every front it handles the I/O and leaves
// the decisions to its broker: a job that the broker rejects is rejected at once. All functions must run on
// the event loop's goroutine, except ReadConfig, AdaptSettings and HashPassword, which any goroutine may
// call.
package faktory
