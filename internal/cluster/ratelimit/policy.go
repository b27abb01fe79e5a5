package ratelimit

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"moorstack/internal/cluster/replicated"
)

// Section is the section of the agreed document that says what accounts may send.
const Section = "ratelimit"

// Tenant is the word for: a job's account is its tenant.
const Tenant = "tenant"

// Limit is what an account, or one class of its jobs, may send over all fronts: in every window at most
// rate times its length, and burst more.
type Limit struct {
	Rate  float64 // jobs a second
	Burst float64 // jobs, whole
	Floor float64 // the share of both that fronts have in equal parts, whatever else fails; 0: none
}

// Policy is what the section says.
type Policy struct {
	Version  uint64 // of the words; 0: there are none, and nothing is limited
	Account  string // the header that names a job's account, or Tenant
	Tick     time.Duration
	Term     time.Duration // how long a slice lasts
	Parts    int           // in how many parts floors are cut: as many fronts as there may be
	Default  *Limit        // of accounts that have no line; nil: they are not limited
	Accounts map[string]Limit
	Classes  map[Key]Limit
}

// Key names a bucket: an account, or one class of its jobs.
type Key struct{ Account, Class string }

// String is the key as people write it.
func (k Key) String() string {
	if k.Class == "" {
		return k.Account
	}
	return k.Account + "@" + k.Class
}

// Of is the limit of a key, if it has one.
func (p *Policy) Of(k Key) (Limit, bool) {
	if k.Class != "" {
		l, ok := p.Classes[k]
		return l, ok
	}
	l, ok := p.Accounts[k.Account]
	if !ok && p.Default != nil {
		return *p.Default, true
	}
	return l, ok
}

// floorBurst is how many jobs each front may have in its floor.
func (p *Policy) floorBurst(l Limit) float64 {
	if l.Floor <= 0 {
		return 0
	}
	return max(1, math.Floor(l.Burst*l.Floor/float64(p.Parts)))
}

// floorRate is what each front's floor gets a second.
func (p *Policy) floorRate(l Limit) float64 { return l.Rate * l.Floor / float64(p.Parts) }

// Describe says a limit in words.
func (p *Policy) Describe(l Limit) string {
	text := fmt.Sprintf("%.4g a second and %.4g at once over all instances", l.Rate, l.Burst)
	if l.Floor <= 0 {
		return text + "; nothing at one that is cut off, and a first call is told to come back"
	}
	return text + fmt.Sprintf("; of that %.3g a second and %.4g at once at each of %d, also when it is "+
		"cut off", p.floorRate(l), p.floorBurst(l), p.Parts)
}

// lent is what is left to be lent.
func (p *Policy) lent(l Limit) (rate, burst float64) {
	return l.Rate * (1 - l.Floor), l.Burst - float64(p.Parts)*p.floorBurst(l)
}

// ReadPolicy reads the section, and gives what is wrong with it. Classes are the document's.
func ReadPolicy(values map[string]string, classes []string) (p Policy, wrong []string) {
	p = Policy{Account: Tenant, Tick: 100 * time.Millisecond, Term: time.Second, Parts: 5,
		Accounts: map[string]Limit{}, Classes: map[Key]Limit{}}
	if len(values) == 0 {
		return p, nil
	}
	bad := func(format string, args ...any) { wrong = append(wrong, fmt.Sprintf(format, args...)) }
	span := func(key, text string, into *time.Duration, least, most time.Duration) {
		v, err := time.ParseDuration(text)
		if err != nil || v < least || v > most {
			bad("%s: %q is not a time from %v to %v, as in \"200ms\"", key, text, least, most)
			return
		}
		*into = v
	}
	hash, limits := xxhash.New(), map[string]string{}
	for _, key := range slices.Sorted(maps.Keys(values)) {
		text := values[key]
		_, _ = fmt.Fprintf(hash, "%q=%q\n", key, text)
		switch {
		case key == "tick":
			span(key, text, &p.Tick, 10*time.Millisecond, 10*time.Second)
		case key == "term":
			span(key, text, &p.Term, 50*time.Millisecond, 10*time.Minute)
		case key == "account":
			if p.Account = text; text == "" || strings.ContainsAny(text, " :\t\r\n") {
				bad("account: %q is neither %q nor the name of a header, as in \"X-Account\"", text, Tenant)
			}
		case key == "parts":
			n, err := strconv.Atoi(text)
			if err != nil || n < 1 || n > 1000 {
				bad("parts: %q is not a number from 1 to 1000: as many fronts as there may be", text)
				continue
			}
			p.Parts = n
		case key == "default", strings.HasPrefix(key, "account."):
			limits[key] = text
		default:
			bad("%q is no key of this section; account, tick, term, parts, default, \"account.NAME\" and "+
				"\"account.NAME@CLASS\" are", key)
		}
	}
	if len(wrong) == 0 && p.Term < 5*p.Tick {
		bad("term: %v is less than 5 ticks of %v: slices would run out between two words on them; name a "+
			"longer term or a shorter tick", p.Term, p.Tick)
	}
	p.Version = max(hash.Sum64(), 1)
	for _, key := range slices.Sorted(maps.Keys(limits)) {
		l, err := p.readLimit(limits[key])
		if err != nil {
			bad("%s: %q: %v", key, limits[key], err)
			continue
		}
		account, class, ofClass := strings.Cut(strings.TrimPrefix(key, "account."), "@")
		switch {
		case key == "default":
			if limits[key] != "none" {
				p.Default = &l
			}
		case limits[key] == "none":
			bad("%s: \"none\" is for the default; leave the line out", key)
		case account == "" || strings.TrimSpace(account) != account:
			bad("%s: the account has no name, or blanks around it", key)
		case ofClass && !slices.Contains(classes, class):
			bad("%s: there is no class %q; there are %v", key, class, classes)
		case ofClass:
			p.Classes[Key{account, class}] = l
		default:
			p.Accounts[account] = l
		}
	}
	return p, wrong
}

// readLimit reads "RATE/UNIT [burst=N] [floor=SHARE|equal|none]".
func (p *Policy) readLimit(text string) (l Limit, err error) {
	words := strings.Fields(text)
	if text == "none" {
		return l, nil
	}
	if len(words) == 0 {
		return l, fmt.Errorf("a rate is wanted, as in \"10/s burst=20\"")
	}
	number, unit, _ := strings.Cut(words[0], "/")
	per := map[string]float64{"s": 1, "m": 60, "h": 3600}[unit]
	l.Rate, err = strconv.ParseFloat(number, 64)
	if err != nil || per == 0 || !(l.Rate > 0 && l.Rate <= 1e9) {
		return l, fmt.Errorf("%q is no rate above 0, as in \"10/s\", \"90/m\" or \"5/h\"", words[0])
	}
	l.Rate /= per
	l.Burst = max(math.Ceil(l.Rate), 1)
	for _, w := range words[1:] {
		name, value, _ := strings.Cut(w, "=")
		switch {
		case name == "burst":
			l.Burst, err = strconv.ParseFloat(value, 64)
			if err != nil || l.Burst != math.Floor(l.Burst) || l.Burst < 1 || l.Burst > 1e12 {
				return l, fmt.Errorf("%q is no whole number of jobs from 1 on, as in \"burst=20\"", w)
			}
		case w == "floor=none":
			l.Floor = 0
		case w == "floor=equal":
			l.Floor = 1
		case name == "floor":
			l.Floor, err = strconv.ParseFloat(value, 64)
			if err != nil || !(l.Floor >= 0 && l.Floor <= 1) {
				return l, fmt.Errorf("%q is no share from 0 to 1, nor none or equal", w)
			}
		default:
			return l, fmt.Errorf("%q is neither burst=N nor floor=SHARE", w)
		}
	}
	if need := float64(p.Parts) * p.floorBurst(l); need > l.Burst {
		return l, fmt.Errorf("the floors of %d parts are a job each at the least, %.0f in all, and the "+
			"burst is %.0f; name burst=%.0f or more, floor=none, or fewer parts",
			p.Parts, need, l.Burst, need)
	}
	return l, nil
}

// Check gives what is wrong with the section of a document.
func Check(t replicated.Terms) []string {
	p, wrong := ReadPolicy(t.Values, t.ClassNames())
	if len(wrong) > 0 || p.Account != Tenant {
		return wrong
	}
	// Hazard: what is wrong is part of what is agreed on, and must stand in one order everywhere.
	unknown := func(account string) {
		if !slices.Contains(t.Tenants, account) {
			wrong = append(wrong, fmt.Sprintf("account %s: there is no tenant of that name, and accounts "+
				"are tenants; name a header with account = \"X-Account\", or the tenant", account))
		}
	}
	for _, account := range slices.Sorted(maps.Keys(p.Accounts)) {
		unknown(account)
	}
	for _, k := range slices.SortedFunc(maps.Keys(p.Classes), func(a, b Key) int {
		return strings.Compare(a.String(), b.String())
	}) {
		unknown(k.Account)
	}
	return wrong
}
