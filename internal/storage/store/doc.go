// Package store keeps what must outlive a process: a log of records, and a snapshot that
// replaces the log's beginning.
//
// The contract:
//
//   - Append writes records; they are durable once a later Sync has returned nil, and
//     nothing may be acknowledged before. Several appends may share one sync.
//   - Open returns all records that were durable, in order, and perhaps more that were
//     written and not yet synced, but never a part of a record and never one without those
//     before it. A log whose end was cut short while it was written loses that end, and
//     Store.TornTail reports it. Any other damage fails Open with a CorruptError that names
//     the file and the byte.
//   - WriteSnapshot replaces all records appended before it. It is durable when it returns.
//   - After an error of Append the log is as it was before, and the caller may go on, for
//     example once the disk has space again. After an error of Sync nobody knows what the
//     disk holds, and every further call fails: the process must exit and open the store
//     again.
//   - One process has a directory open at a time.
//
// A Store is used by one goroutine at a time; a GroupCommitter lets many share it.
package store
