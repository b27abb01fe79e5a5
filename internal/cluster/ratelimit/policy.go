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

// AccountIsTenant is the word for: a job's account is its tenant.
const AccountIsTenant = "tenant"

// Limit is what an account, or one class of its jobs, may send over all fronts: in every window at most
// rate times its length, and burst more.
type Limit struct {
	Rate       float64 // jobs a second
	Burst      float64 // jobs, whole
	FloorShare float64 // the share of both that fronts have in equal parts, whatever else fails; 0: none
}

// Policy is what the section says.
type Policy struct {
	Version       uint64 // of the words; 0: there are none, and nothing is limited
	AccountHeader string // the header that names a job's account, or Tenant
	TickInterval  time.Duration
	GrantDuration time.Duration // how long a slice lasts
	MaxFronts     int           // in how many parts floors are cut: as many fronts as there may be
	DefaultLimit  *Limit        // of accounts that have no line; nil: they are not limited
	AccountLimits map[string]Limit
	ClassLimits   map[Key]Limit
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

// LimitOf is the limit of a key, if it has one.
func (p *Policy) LimitOf(k Key) (Limit, bool) {
	if k.Class != "" {
		l, ok := p.ClassLimits[k]
		return l, ok
	}
	l, ok := p.AccountLimits[k.Account]
	if !ok && p.DefaultLimit != nil {
		return *p.DefaultLimit, true
	}
	return l, ok
}

// floorBurst is how many jobs each front may have in its floor.
func (p *Policy) floorBurst(l Limit) float64 {
	if l.FloorShare <= 0 {
		return 0
	}
	return max(1, math.Floor(l.Burst*l.FloorShare/float64(p.MaxFronts)))
}

// floorRate is what each front's floor gets a second.
func (p *Policy) floorRate(l Limit) float64 { return l.Rate * l.FloorShare / float64(p.MaxFronts) }

// Describe says a limit in words.
func (p *Policy) Describe(l Limit) string {
	text := fmt.Sprintf("%.4g a second and %.4g at once over all instances", l.Rate, l.Burst)
	if l.FloorShare <= 0 {
		return text + "; nothing at one that is cut off, and a first call is told to come back"
	}
	return text + fmt.Sprintf("; of that %.3g a second and %.4g at once at each of %d, also when it is "+
		"cut off", p.floorRate(l), p.floorBurst(l), p.MaxFronts)
}

// lendable is what is left to be lent.
func (p *Policy) lendable(l Limit) (rate, burst float64) {
	return l.Rate * (1 - l.FloorShare), l.Burst - float64(p.MaxFronts)*p.floorBurst(l)
}

// ParsePolicy reads the section, and gives what is wrong with it. Classes are the document's.
func ParsePolicy(values map[string]string, classes []string) (p Policy, wrong []string) {
	p = Policy{
		AccountHeader: AccountIsTenant,
		TickInterval:  100 * time.Millisecond,
		GrantDuration: time.Second,
		MaxFronts:     5,
		AccountLimits: map[string]Limit{},
		ClassLimits:   map[Key]Limit{},
	}
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
			span(key, text, &p.TickInterval, 10*time.Millisecond, 10*time.Second)
		case key == "term":
			span(key, text, &p.GrantDuration, 50*time.Millisecond, 10*time.Minute)
		case key == "account":
			if p.AccountHeader = text; text == "" || strings.ContainsAny(text, " :\t\r\n") {
				bad(
					"account: %q is neither %q nor the name of a header, as in \"X-Account\"",
					text,
					AccountIsTenant,
				)
			}
		case key == "parts":
			n, err := strconv.Atoi(text)
			if err != nil || n < 1 || n > 1000 {
				bad("parts: %q is not a number from 1 to 1000: as many fronts as there may be", text)
				continue
			}
			p.MaxFronts = n
		case key == "default", strings.HasPrefix(key, "account."):
			limits[key] = text
		default:
			bad("%q is no key of this section; account, tick, term, parts, default, \"account.NAME\" and "+
				"\"account.NAME@CLASS\" are", key)
		}
	}
	if len(wrong) == 0 && p.GrantDuration < 5*p.TickInterval {
		bad("term: %v is less than 5 ticks of %v: slices would run out between two words on them; name a "+
			"longer term or a shorter tick", p.GrantDuration, p.TickInterval)
	}
	p.Version = max(hash.Sum64(), 1)
	for _, key := range slices.Sorted(maps.Keys(limits)) {
		l, err := p.parseLimit(limits[key])
		if err != nil {
			bad("%s: %q: %v", key, limits[key], err)
			continue
		}
		account, class, ofClass := strings.Cut(strings.TrimPrefix(key, "account."), "@")
		switch {
		case key == "default":
			if limits[key] != "none" {
				p.DefaultLimit = &l
			}
		case limits[key] == "none":
			bad("%s: \"none\" is for the default; leave the line out", key)
		case account == "" || strings.TrimSpace(account) != account:
			bad("%s: the account has no name, or blanks around it", key)
		case ofClass && !slices.Contains(classes, class):
			bad("%s: there is no class %q; there are %v", key, class, classes)
		case ofClass:
			p.ClassLimits[Key{account, class}] = l
		default:
			p.AccountLimits[account] = l
		}
	}
	return p, wrong
}

// parseLimit reads "RATE/UNIT [burst=N] [floor=SHARE|equal|none]".
func (p *Policy) parseLimit(text string) (l Limit, err error) {
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
			l.FloorShare = 0
		case w == "floor=equal":
			l.FloorShare = 1
		case name == "floor":
			l.FloorShare, err = strconv.ParseFloat(value, 64)
			if err != nil || !(l.FloorShare >= 0 && l.FloorShare <= 1) {
				return l, fmt.Errorf("%q is no share from 0 to 1, nor none or equal", w)
			}
		default:
			return l, fmt.Errorf("%q is neither burst=N nor floor=SHARE", w)
		}
	}
	if need := float64(p.MaxFronts) * p.floorBurst(l); need > l.Burst {
		return l, fmt.Errorf("the floors of %d parts are a job each at the least, %.0f in all, and the "+
			"burst is %.0f; name burst=%.0f or more, floor=none, or fewer parts",
			p.MaxFronts, need, l.Burst, need)
	}
	return l, nil
}

// Validate gives what is wrong with the section of a document.
func Validate(t replicated.Config) []string {
	p, wrong := ParsePolicy(t.Values, t.ClassNames())
	if len(wrong) > 0 || p.AccountHeader != AccountIsTenant {
		return wrong
	}
	// Hazard: what is wrong is part of what is agreed on, and must stand in one order everywhere.
	unknown := func(account string) {
		if !slices.Contains(t.Tenants, account) {
			wrong = append(wrong, fmt.Sprintf("account %s: there is no tenant of that name, and accounts "+
				"are tenants; name a header with account = \"X-Account\", or the tenant", account))
		}
	}
	for _, account := range slices.Sorted(maps.Keys(p.AccountLimits)) {
		unknown(account)
	}
	for _, k := range slices.SortedFunc(maps.Keys(p.ClassLimits), func(a, b Key) int {
		return strings.Compare(a.String(), b.String())
	}) {
		unknown(k.Account)
	}
	return wrong
}
