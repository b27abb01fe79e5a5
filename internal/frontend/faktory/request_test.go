package faktory

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"moorstack/balancer"
	"moorstack/internal/proxy/broker"
	"moorstack/internal/proxy/routing"
)

// parse parses a job with a front that has one class and two tenants.
func parse(t *testing.T, text string) (broker.Request, *job, error) {
	t.Helper()
	f := &Front{
		classes:  map[string]int{"quick": 0, "Mail": 0},
		tenants:  map[string]int{"muscat": 0, "batinah": 1},
		settings: balancer.Settings{Classes: []balancer.Class{{Name: "quick", Timeout: 5 * time.Second}}},
	}
	j := &job{}
	if err := json.Unmarshal([]byte(text), &j.jobBody); err != nil {
		t.Fatal(err)
	}
	request, decision, err := f.parseRequest(j)
	if decision != (routing.Decision{}) {
		t.Errorf("without routing rules the decision is %+v, want none", decision)
	}
	return request, j, err
}

func TestJobBecomesRequest(t *testing.T) {
	request, j, err := parse(t, `{"jid": "12345678", "jobtype": "Mail", "args": [1], "custom":
		{"deadline": 2.5, "tenant": "batinah", "account": "a7", "cost": 0.25, "slots": 3}}`)
	want := broker.Request{ID: "12345678", Class: 0, Tenant: 1, Payload: j, Account: "a7", Slots: 3,
		Timeout: 2500 * time.Millisecond, ExpectedWork: 250 * time.Millisecond}
	if err != nil || request != want || j.Queue != defaultQueue {
		t.Errorf("request %+v, queue %q, error %v; want %+v", request, j.Queue, err, want)
	}
}

func TestJobWithoutDeadlineHasItsClassesTimeout(t *testing.T) {
	request, _, err := parse(t, `{"jid": "12345678", "jobtype": "quick", "args": [], "queue": "q"}`)
	if err != nil || request.Timeout != 5*time.Second || request.Tenant != 0 {
		t.Errorf("request %+v, error %v, want timeout 5s and tenant 0", request, err)
	}
}

// The producer gets an error that says what is wrong with its job. These texts are part of the protocol.
func TestInvalidJobIsNamed(t *testing.T) {
	const head = `{"jid": "12345678", "jobtype": "Mail", "args": []`
	for _, c := range []struct{ job, want string }{
		{`{"jid": "1234567", "jobtype": "Mail", "args": []}`, "jid must have 8 to 200 characters"},
		{`{"jid": "` + strings.Repeat("x", 201) + `"}`, "jid must have 8 to 200 characters"},
		{`{"jid": "12345678", "args": []}`, "jobtype is missing"},
		{`{"jid": "12345678", "jobtype": "Mail"}`, "args must be an array"},
		{`{"jid": "12345678", "jobtype": "Mail", "args": {}}`, "args must be an array"},
		{head + `, "at": "2026-12-03T00:00:00Z"}`, "jobs for later are not taken"},
		{head + `, "custom": {"tenant": "nobody"}}`, "custom.tenant names no tenant"},
		{`{"jid": "12345678", "jobtype": "Other", "args": []}`, `jobtype "Other" has no class`},
		{head + `, "custom": {"deadline": 0}}`, "custom.deadline must be seconds, above 0 and up to a day"},
		{head + `, "custom": {"deadline": 86401}}`,
			"custom.deadline must be seconds, above 0 and up to a day"},
		{head + `, "reserve_for": 0}`, "reserve_for must be seconds, above 0 and up to a day"},
		{head + `, "custom": {"cost": -1}}`, "custom.cost or custom.slots is out of range"},
		{head + `, "custom": {"slots": 1000001}}`, "custom.cost or custom.slots is out of range"},
	} {
		if _, _, err := parse(t, c.job); err == nil || err.Error() != c.want {
			t.Errorf("%.80s: got error %v, want %s", c.job, err, c.want)
		}
	}
}
