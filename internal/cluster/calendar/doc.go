// Package calendar computes the occurrences of a recurring event that is defined in local time: by an
// expression, a time zone and rules for daylight-saving changes and missing days.
//
// An occurrence is identified by its LocalTime: the local date and time that the expression specifies, and
// whether it is the second of two identical local times when the clocks are set back. The instant is derived
// from the local time by the zone's rules, never the reverse: zone rules change, and an occurrence that was
// fired under a local time must not be fired under it again.
//
// The package never reads a clock. The search proceeds by days and by the zone's offset changes, never second
// by second, and it always ends: an expression without occurrences is rejected when it is parsed.
package calendar
