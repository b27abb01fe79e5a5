package calendar

// MissingDayRule determines when an occurrence takes place whose day does not exist in a month.
type MissingDayRule uint8

// The rules for missing days.
const (
	SkipDay MissingDayRule = iota // not in that month
	LastDay                       // on the month's last day
	NextDay                       // on the first day of the next month
)

// GapRule determines when an occurrence takes place whose local time is skipped because the clocks are set
// forward.
type GapRule uint8

// The rules for gaps.
const (
	AfterGap GapRule = iota // at the first instant after the gap, once for all occurrences in it
	ShiftGap                // later by the length of the gap
	SkipGap                 // never
)

// FoldRule determines which of two identical local times an occurrence uses when the clocks are set back.
type FoldRule uint8

// The rules for folds.
const (
	FirstFold FoldRule = iota
	SecondFold
	BothFolds
)

// Rules resolve cases that an expression does not define. The zero value is the default.
type Rules struct {
	LeapDay    MissingDayRule // for 29 February in a common year
	ShortMonth MissingDayRule // for other days that a month does not have
	Gap        GapRule
	Fold       FoldRule
	// WallClockIntervals measures intervals from each local midnight instead of in elapsed time.
	WallClockIntervals bool
}

// The names of the rules in configuration files, by value.
var (
	MissingDayRuleNames = []string{"skip", "last", "next"}
	GapRuleNames        = []string{"after", "shift", "skip"}
	FoldRuleNames       = []string{"first", "second", "both"}
)
