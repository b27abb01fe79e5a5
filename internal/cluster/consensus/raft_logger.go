package consensus

import (
	"fmt"

	"github.com/sirupsen/logrus"
)

// raftLogger sends Raft's log lines where the program's go. Most of what Raft logs at info concerns its
// internals, so that counts as debug here.
type raftLogger struct{ logrus.FieldLogger }

func (l raftLogger) Info(v ...any)                    { l.Debug(v...) }
func (l raftLogger) Infof(format string, v ...any)    { l.Debugf(format, v...) }
func (l raftLogger) Warning(v ...any)                 { l.Debug(v...) }
func (l raftLogger) Warningf(format string, v ...any) { l.Debugf(format, v...) }
func (l raftLogger) Fatal(v ...any)                   { panic(fmt.Sprint(v...)) }
func (l raftLogger) Fatalf(format string, v ...any)   { panic(fmt.Sprintf(format, v...)) }
func (l raftLogger) Panic(v ...any)                   { panic(fmt.Sprint(v...)) }
func (l raftLogger) Panicf(format string, v ...any)   { panic(fmt.Sprintf(format, v...)) }
