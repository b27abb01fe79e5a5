package consensus

import (
	"fmt"

	"github.com/sirupsen/logrus"
)

// raftLog has Raft's few lines go where ours go. Most of what it says at info is of its
// inner life, so it counts as debug here.
type raftLog struct{ logrus.FieldLogger }

func (l raftLog) Info(v ...any)                    { l.Debug(v...) }
func (l raftLog) Infof(format string, v ...any)    { l.Debugf(format, v...) }
func (l raftLog) Warning(v ...any)                 { l.Debug(v...) }
func (l raftLog) Warningf(format string, v ...any) { l.Debugf(format, v...) }
func (l raftLog) Fatal(v ...any)                   { panic(fmt.Sprint(v...)) }
func (l raftLog) Fatalf(format string, v ...any)   { panic(fmt.Sprintf(format, v...)) }
func (l raftLog) Panic(v ...any)                   { panic(fmt.Sprint(v...)) }
func (l raftLog) Panicf(format string, v ...any)   { panic(fmt.Sprintf(format, v...)) }
