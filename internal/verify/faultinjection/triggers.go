package faultinjection

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"moorstack/internal/cluster/calendar"
	"moorstack/internal/cluster/schedule"
)

var classNames = []string{"trip-quote", "trip-book", "trip-once"}

// triggerWords is the section on triggers that the rig agrees on: of each class, of several paces, some
// spread, some that count against an account. None may be passed over, however late it is.
func triggerWords(o Options) map[string]string {
	words := map[string]string{"zone": "Europe/Berlin"}
	if o.Speed > 1 {
		words["bound"] = "1h" // a reading is some tenths of a second old
	}
	for n := range o.Triggers {
		expr := []string{"* * * * * *", "*/2 * * * * *", "*/3 * * * * *"}[n/3%3]
		if o.Speed > 1 {
			expr = []string{"* * * * *", "*/2 * * * *", "30 2 * * *"}[n/3%3]
		}
		text := fmt.Sprintf("%s class=%s late=100h cost=2000us fold=both gap=%s", expr, classNames[n%3],
			[]string{"after", "shift"}[n%2])
		if n%5 == 4 {
			text += " spread=2s"
		}
		if n%7 == 6 && o.Accounts > 0 {
			text += " account=acct-2"
		}
		words[fmt.Sprintf("trigger.t%d", n)] = text
	}
	return words
}

// Fired is what became of triggers' occurrences.
type Fired struct {
	Intended int `json:"intended"`
	Begun    int `json:"begun"` // jobs handed in
	Adopted  int `json:"taken_over"`
	MayHave  int `json:"may_have_run"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	// Late is from the time of an occurrence to when its job was handed in first.
	Late []time.Duration `json:"late_ns"`
}

type fired struct {
	Fired
	broken []string
}

// occurrence is what the journals say of one.
type occurrence struct {
	number  string
	at      int64
	fires   []fire
	settled string
}

type fire struct {
	entry
	epoch  string
	repeat bool
	answer string
}

// settled waits until all that was intended before the faults' end has an outcome.
func (p *play) settled(ctx context.Context, healed time.Duration) {
	before := p.clock.wall(healed)
	err := Until(ctx, "waiting for outcomes", func(context.Context) error {
		all, err := p.journals()
		if err != nil {
			return err
		}
		for key, o := range p.occurrences(all, func(string, ...any) {}) {
			if o.settled == "" && o.at*int64(time.Second) < before {
				return fmt.Errorf("%s has none", key)
			}
		}
		return nil
	})
	if err != nil {
		p.violate("all is well, and still: %v", err)
	}
}

// occurrences reads what the instances have written of triggers.
func (p *play) occurrences(all []entry, broken func(string, ...any)) map[string]*occurrence {
	seen := map[string]*occurrence{}
	of := func(key string) *occurrence {
		o := seen[key]
		if o == nil {
			o = &occurrence{}
			seen[key] = o
		}
		return o
	}
	for _, e := range all {
		if e.what != "agreed" && e.what != "fire" && e.what != "answer" {
			continue
		}
		what, rest := e.what, e.rest
		if what == "agreed" {
			what, rest, _ = strings.Cut(rest, " ")
		}
		key, rest, err := unquote(rest)
		words := strings.Fields(rest)
		if err != nil || len(words) < 2 {
			broken("%s: %q is no line on a trigger", e.who, e.rest)
			continue
		}
		switch what {
		case "pass":
			broken("%s: %s occurrences of %s were passed over", e.who, words[1], key)
		case "intend":
			o := of(key)
			if o.number != "" && o.number != words[0] {
				broken("%s was intended as %s and as %s", key, o.number, words[0])
			}
			o.number = words[0]
			o.at, _ = strconv.ParseInt(words[1], 10, 64)
		case "settle":
			o := of(key)
			if o.settled != "" && o.settled != words[3] {
				broken("%s has ended as %s and as %s", key, o.settled, words[3])
			}
			o.settled = words[3]
		case "fire":
			o := of(key)
			o.fires = append(o.fires, fire{entry: e, epoch: words[1], repeat: words[3] == "true"})
			if at, _ := strconv.ParseInt(words[2], 10, 64); o.at == 0 {
				o.at = at
			}
		case "answer":
			o := of(key)
			for k := len(o.fires) - 1; k >= 0; k-- {
				if o.fires[k].who == e.who && o.fires[k].answer == "" {
					o.fires[k].answer = words[1]
					break
				}
			}
		}
	}
	return seen
}

// auditTriggers looks for an occurrence that was intended twice, left out, fired without being intended,
// early, or once more where it may have run and may not be repeated.
func (p *play) auditTriggers(all []entry) (r fired) {
	broken := func(format string, args ...any) {
		if len(r.broken) < 10 {
			r.broken = append(r.broken, fmt.Sprintf(format, args...))
		}
	}
	seen := p.occurrences(all, broken)
	classes := map[string]string{}
	policy, wrong := schedule.ParsePolicy(triggerWords(p.Options), schedule.KnownNames{Classes: classNames})
	if len(wrong) > 0 {
		broken("the rig's own words on triggers: %v", wrong)
	}
	for _, t := range policy.Triggers {
		classes[t.Name] = t.Class
	}
	for _, key := range slices.Sorted(maps.Keys(seen)) {
		o := seen[key]
		name, _, _ := strings.Cut(key, "@")
		if o.number == "" {
			broken("%s was fired, and nobody has intended it", key)
			continue
		}
		r.Intended++
		p.auditFires(key, classes[name], o, broken)
		r.Begun += len(o.fires)
		for _, f := range o.fires {
			if f.repeat {
				r.Adopted++
			}
		}
		if len(o.fires) > 0 && p.Speed <= 1 {
			r.Late = append(r.Late, time.Duration(p.clock.wall(o.fires[0].at)-o.at*int64(time.Second)))
		}
		switch o.settled {
		case strconv.Itoa(int(schedule.Failed)):
			r.Failed++
		case strconv.Itoa(int(schedule.Rejected)):
			r.Refused++
		case strconv.Itoa(int(schedule.Unknown)):
			r.MayHave++
		}
	}
	p.auditComplete(policy, seen, broken)
	if r.Intended == 0 {
		broken("no occurrence was intended: there was nothing to audit")
	}
	return r
}

// auditFires looks at one occurrence's jobs.
func (p *play) auditFires(key, class string, o *occurrence, broken func(string, ...any)) {
	ran := 0 // times that it may have
	for k, f := range o.fires {
		if early := o.at*int64(time.Second) - p.clock.wall(f.at); early > int64(1500*time.Millisecond) &&
			p.Speed <= 1 {
			broken("%s was fired %v early by %s", key, time.Duration(early), f.who)
		}
		if f.answer != "busy" {
			ran++
		}
		// Again only where the one before was refused, or by who has taken it over.
		if k > 0 && !f.repeat && o.fires[k-1].answer != "busy" {
			broken("%s was fired by %s, and again by %s, which had not taken it over", key,
				o.fires[k-1].who, f.who)
		}
	}
	p.Fleet.mu.Lock()
	took := p.took[key]
	p.Fleet.mu.Unlock()
	if class != "trip-quote" && ran > 1 {
		broken("%s, which may not be repeated, was fired %d times where it may have run", key, ran)
	}
	if class == "trip-once" && took > 1 {
		broken("%s, which may not be repeated, was taken by workers %d times", key, took)
	}
	if o.settled == strconv.Itoa(int(schedule.Succeeded)) && took == 0 {
		broken("%s has ended as done, and no worker has taken it", key)
	}
}

// auditComplete looks whether an occurrence was left out: what follows each is what the calendar says.
func (p *play) auditComplete(policy schedule.Policy, seen map[string]*occurrence, broken func(string,
	...any)) {
	plans, err := policy.Recurrences(calendar.NewZoneDB())
	if err != nil {
		broken("the rig's own words on triggers: %v", err)
		return
	}
	by := map[string][]int64{}
	for key, o := range seen {
		if o.number != "" {
			name, _, _ := strings.Cut(key, "@")
			by[name] = append(by[name], o.at)
		}
	}
	newest := int64(0)
	for _, list := range by {
		slices.SortFunc(list, cmp.Compare)
		newest = max(newest, list[len(list)-1])
	}
	for n, t := range policy.Triggers {
		list := by[t.Name]
		for k, at := range list {
			o, ok := plans[n].Next(at)
			switch {
			case k+1 < len(list) && o.At != list[k+1]:
				broken(
					"%s: after %d comes %d, %d was left out (%v)",
					t.Name,
					at,
					list[k+1],
					o.At,
					o.LocalTime,
				)
			case k+1 == len(list) && ok && o.At < newest-int64(30*max(p.Speed, 1)):
				broken("%s: %d has not come by %d (%v)", t.Name, o.At, newest, o.LocalTime)
			}
		}
	}
}
