// Package store provides durable storage for a process: a log of records, and a snapshot that
// replaces the beginning of the log.
//
// The contract:
//
//   - Append writes records. They are durable once a later Sync has returned nil, and must
//     not be acknowledged before. Several appends may share one sync.
//   - Open returns all records that were durable, in order. It may also return records that
//     were written but not yet synced, but never part of a record, and never a record
//     without all records before it. If the end of the log was only partly written, Open
//     cuts it off, and Store.TornTail reports it. Any other damage makes Open fail with a
//     CorruptError that names the file and the offset.
//   - WriteSnapshot replaces all records appended before it. The snapshot is durable when
//     WriteSnapshot returns.
//   - After an error of Append the log is unchanged, and the caller may continue, for
//     example once the disk has space again. After an error of Sync the content of the disk
//     is unknown, and all further calls fail: the process must exit and open the store
//     again.
//   - Only one process at a time can have a directory open.
//
// A Store is used by one goroutine at a time. A GroupCommitter shares it between goroutines.
package store
