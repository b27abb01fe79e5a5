package consensus

import (
	"fmt"

	"github.com/sirupsen/logrus"
)

// raftLogger writes Raft's log messages to the program's log. What Raft logs at the levels info and warning
// mostly concerns its internals, and is logged at debug.
type raftLogger struct{ logrus.FieldLogger }

func (l raftLogger) Info(v ...any)                    { l.Debug(v...) }
func (l raftLogger) Infof(format string, v ...any)    { l.Debugf(format, v...) }
func (l raftLogger) Warning(v ...any)                 { l.Debug(v...) }
func (l raftLogger) Warningf(format string, v ...any) { l.Debugf(format, v...) }
func (l raftLogger) Fatal(v ...any)                   { panic(fmt.Sprint(v...)) }
func (l raftLogger) Fatalf(format string, v ...any)   { panic(fmt.Sprintf(format, v...)) }
func (l raftLogger) Panic(v ...any)                   { panic(fmt.Sprint(v...)) }
func (l raftLogger) Panicf(format string, v ...any)   { panic(fmt.Sprintf(format, v...)) }
