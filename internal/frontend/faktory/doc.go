// Package faktory is the frontend for the Faktory work protocol: producers push jobs, workers fetch and
// acknowledge them, and a broker of its own decides which worker gets which job.
//
// It is a server in memory: what it keeps is lost when the process ends. Like any frontend it carries and
// decides nothing; a job that the broker rejects is rejected at once. Everything in it runs on its event
// loop's goroutine, but for ReadConfig, AdaptSettings and HashPassword, which any goroutine may call.
package faktory
