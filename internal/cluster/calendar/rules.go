package calendar

// MissingDayRule determines what to do about a day that a month does not have.
type MissingDayRule uint8

// The rules for missing days.
const (
	SkipDay MissingDayRule = iota // there is no occurrence in that month
	LastDay                       // it is on the month's last day
	NextDay                       // it is on the first day of the next month
)

// GapRule determines what to do about a local time that is skipped when the clocks are set forward.
type GapRule uint8

// The rules for gaps.
const (
	AfterGap GapRule = iota // everything in the gap occurs once, at the first instant after it
	ShiftGap                // each occurrence is later by as much as the clocks were set forward
	SkipGap                 // there is no occurrence
)

// FoldRule determines which of two is meant if a local time comes twice because the clocks are set back.
type FoldRule uint8

// The rules for folds.
const (
	FirstFold FoldRule = iota
	SecondFold
	BothFolds
)

// Rules determine what an expression leaves open. The zero value is the default.
type Rules struct {
	LeapDay    MissingDayRule // for 29 February in a year that has none
	ShortMonth MissingDayRule // for other days that a month does not have
	Gap        GapRule
	Fold       FoldRule
	// WallClockIntervals counts intervals from each local midnight, and not in elapsed time.
	WallClockIntervals bool
}

// The names of the rules in configuration files, by value.
var (
	MissingDayRuleNames = []string{"skip", "last", "next"}
	GapRuleNames        = []string{"after", "shift", "skip"}
	FoldRuleNames       = []string{"first", "second", "both"}
)
