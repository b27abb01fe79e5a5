package node

import (
	"fmt"
	"os"
	"time"

	"moorstack/internal/cluster/consensus"
)

// auditLog is the file in which an instance writes what it admits and does, one line each: the time on the
// boot clock in nanoseconds, then the event and its facts. The fault-injection runs read it. It may be
// written from any goroutine. The nil auditLog writes nothing.
type auditLog struct{ file *os.File }

// openAuditLog opens the file at path for appending, and makes it if there is none.
func openAuditLog(path string) (*auditLog, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return &auditLog{file: f}, nil
}

// enabled reports whether lines are written. Callers on the path of a request check it first, so that no
// arguments are allocated for nothing.
func (a *auditLog) enabled() bool { return a != nil }

// writeAt writes an event of a moment on the boot clock.
func (a *auditLog) writeAt(now time.Duration, format string, args ...any) {
	if a != nil {
		fmt.Fprintf(a.file, "%d %s\n", now, fmt.Sprintf(format, args...))
	}
}

// write writes an event that happens now.
func (a *auditLog) write(format string, args ...any) {
	if a != nil {
		a.writeAt(consensus.BootTime(), format, args...)
	}
}

func (a *auditLog) close() error { return a.file.Close() }
