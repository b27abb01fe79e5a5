package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/ratelimit"
	"moorstack/internal/cluster/schedule"
	"moorstack/internal/cluster/weights"
)

// documentWith returns a document with one class and one section.
func documentWith(section string, values map[string]string) *clusterstate.Document {
	return &clusterstate.Document{Classes: []clusterstate.Class{{Name: "once"}},
		Sections: map[string]map[string]string{section: values}}
}

func TestPreviewNamesSomeAccountsAndCountsTheRest(t *testing.T) {
	values := map[string]string{"account": "X-Account", "default": "1/s"}
	for n := range maxPreviewNames + 2 {
		values[fmt.Sprintf("account.a%03d", n)] = "2/s burst=9"
	}
	lines := previewAccounts(documentWith(ratelimit.Section, values))
	if len(lines) != maxPreviewNames+2 || !strings.HasPrefix(lines[0], "account a000: ") ||
		lines[maxPreviewNames] != "and 2 more accounts" ||
		!strings.HasPrefix(lines[maxPreviewNames+1], "any other account: ") {
		t.Errorf("got %d lines %q, want 50 accounts, the number of the others, and any other account",
			len(lines), lines)
	}
}

func TestPreviewShowsTheNextOccurrencesOfTriggers(t *testing.T) {
	d := documentWith(schedule.Section, map[string]string{"zone": "UTC",
		"trigger.daily": "30 6 * * * class=once", "trigger.idle": "0 7 * * * class=once paused=yes"})
	from := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	lines, err := previewTriggers(d, calendar.NewZoneDB(), from)
	if err != nil {
		t.Fatal(err)
	}
	if len(lines) != 3 || !strings.HasPrefix(lines[0], "zone rules here: zones = ") ||
		!strings.HasPrefix(lines[1], "daily (UTC): ") || lines[2] != "idle: paused" {
		t.Fatalf("got lines %q, want the zone rules, daily, and idle as paused", lines)
	}
	next := strings.Fields(strings.TrimPrefix(lines[1], "daily (UTC): "))
	if len(next) != previewOccurrences || !strings.Contains(next[0], "03-02T06:30") {
		t.Errorf("got next occurrences %q, want five from 03-02T06:30 on", next)
	}
}

func TestPreviewShowsWhatOtherWeightsMove(t *testing.T) {
	member := func(id uint64, name string) placement.Member {
		return placement.Member{Session: placement.Session{Member: id, Epoch: id}, Name: name}
	}
	view := placement.View{Number: 1, Members: []placement.Member{member(1, "a"), member(2, "b")}}
	if lines := previewOwners(documentWith(weights.Section, nil), view); len(lines) != 0 {
		t.Errorf("without a change: got lines %q, want none", lines)
	}
	lines := previewOwners(documentWith(weights.Section,
		map[string]string{"weight.a": "3", "weight.x": "2"}), view)
	if len(lines) != 4 || lines[0] != "weight.x: no instance of that name has a session now" ||
		!strings.HasPrefix(lines[1], "a owns ") || !strings.HasPrefix(lines[2], "b owns ") ||
		!strings.HasSuffix(lines[3], " of them change hands") {
		t.Errorf("got lines %q, want weight.x without a session, the shares of a and b, and the change",
			lines)
	}
	if view.Members[0].Weight != 0 {
		t.Error("the current view was modified")
	}
}
