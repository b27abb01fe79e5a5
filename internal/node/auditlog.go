package node

import (
	"fmt"
	"os"
	"time"

	"moorstack/internal/cluster/consensus"
)

// auditLog is the file in which an instance records what it admits and does, one line per event: the time on
// the boot clock in nanoseconds, then the event and its values. The fault-injection runs read it. It may be
// written from any goroutine. A nil auditLog writes nothing.
type auditLog struct{ file *os.File }

// openAuditLog opens the file at path for appending, and creates it if it does not exist.
func openAuditLog(path string) (*auditLog, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return &auditLog{file: f}, nil
}

// enabled reports whether events are written. Callers on the request path check it first, to avoid allocating
// the arguments.
func (a *auditLog) enabled() bool { return a != nil }

// writeAt writes an event with a time on the boot clock.
func (a *auditLog) writeAt(now time.Duration, format string, args ...any) {
	if a != nil {
		fmt.Fprintf(a.file, "%d %s\n", now, fmt.Sprintf(format, args...))
	}
}

// write writes an event with the current time.
func (a *auditLog) write(format string, args ...any) {
	if a != nil {
		a.writeAt(consensus.BootTime(), format, args...)
	}
}

func (a *auditLog) close() error { return a.file.Close() }
