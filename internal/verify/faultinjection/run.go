package faultinjection

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/leasedtask"
	"moorstack/internal/cluster/membership"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/ratelimit"
	"moorstack/internal/cluster/schedule"
	"moorstack/internal/cluster/weights"
	"moorstack/internal/schema"
)

// Play is what a story is played with.
type Play struct {
	Options
	Story   []Fault
	For     time.Duration // that changes and jobs go on for
	Changes int           // at the most; 0: as many as there is time for
	Trace   io.Writer     // each fault and change, a line; nil: none
	// Progress is told how far it has come.
	Progress func(at time.Duration, r *Result)
}

// Result is what was measured and found.
type Result struct {
	Instances int     `json:"instances"`
	Seconds   float64 `json:"seconds"`
	Faults    int     `json:"faults"`
	InForce   int     `json:"in_force"`
	Withdrawn int     `json:"withdrawn"`
	Repeats   int     `json:"repeats"` // calls made again under the same id
	// from propose to in force, of those whose first call was answered
	Took   []time.Duration `json:"took_ns"`
	Pauses []time.Duration `json:"pauses_ns"` // in which an instance admitted nothing for a change
	// from the last fault's end until all admitted jobs again
	Back time.Duration `json:"back_ns"`
	// from the last fault's end until each instance believes of each other that it is there
	Believed time.Duration `json:"believed_ns"`
	Messages float64       `json:"messages_a_s"` // between all instances, while nothing happened
	Admitted int           `json:"admitted"`
	Acts     int           `json:"acts"`  // in duties
	Rated    int           `json:"rated"` // admissions of accounts whose rate is kept
	// RateUse is the part of what the accounts' rates allow that was admitted.
	RateUse float64 `json:"rate_use"`
	// RateGap is the longest time between two admissions of an account that has a line of its own.
	RateGap  time.Duration `json:"rate_gap_ns"`
	Accounts int           `json:"accounts"` // that were admitted something
	Parts    int           `json:"parts"`    // of cold workers' budgets, each held for a while
	Fired    Fired         `json:"fired"`
	Rolls    int           `json:"rolls"` // rolling restarts that came to their end
	Out      int           `json:"out"`   // instances that they took out
	// in which nobody acted in a duty that went from one to another
	Gaps       []time.Duration `json:"gaps_ns"`
	Jobs       Jobs            `json:"jobs"`
	Violations []string        `json:"violations,omitempty"`
	Last       []string        `json:"last,omitempty"` // what the instances did last before what broke
}

type play struct {
	Play
	*Fleet
	mu    sync.Mutex
	res   Result
	acked map[string]uint64
	ended map[string]bool // changes that were withdrawn
	rng   *rand.Rand
	rates map[uint64]ratelimit.Policy // that were proposed, by their versions
	asked string                      // whom the client has asked last
}

// Run plays a story round real processes and audits it.
func Run(ctx context.Context, o Play) (*Result, error) {
	f, err := New(o.Options)
	if err != nil {
		return nil, err
	}
	defer f.End()
	p := &play{Play: o, Fleet: f, acked: map[string]uint64{}, ended: map[string]bool{},
		rng: rand.New(rand.NewPCG(o.Seed, 11)), rates: map[uint64]ratelimit.Policy{}}
	p.res.Instances = o.Instances
	if err := f.Form(ctx); err != nil {
		return nil, err
	}
	if err := p.rest(ctx); err != nil {
		return nil, err
	}
	if err := p.play(ctx); err != nil {
		return nil, err
	}
	return &p.res, p.audit(ctx)
}

// rest counts the messages between instances while nothing happens.
func (p *play) rest(ctx context.Context) error {
	count := func() (n uint64, err error) {
		for _, x := range p.List {
			s := x.Status(ctx)
			if s == nil {
				return 0, fmt.Errorf("%s does not answer though nothing happens", x.Name)
			}
			n += s.Counters["messages_sent"]
		}
		return n, nil
	}
	before, err := count()
	if err != nil {
		return err
	}
	began := time.Now()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(time.Second):
	}
	after, err := count()
	p.res.Messages = float64(after-before) / time.Since(began).Seconds()
	return err
}

func (p *play) trace(began time.Time, format string, args ...any) {
	if p.Trace != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		fmt.Fprintf(p.Trace, "%8.3fs  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}
}

func (p *play) play(ctx context.Context) error {
	began := time.Now()
	jobs, stop := context.WithCancel(ctx)
	var load sync.WaitGroup
	if p.Rate > 0 {
		for _, x := range p.List {
			load.Go(func() { p.jobs(jobs, x, &p.res.Jobs, &p.mu) })
		}
	}
	var story sync.WaitGroup
	telling, ended := context.WithCancel(ctx)
	defer ended()
	story.Go(func() { p.tell(telling, began) })
	if p.Rolls > 0 {
		story.Go(func() { p.rolls(telling, began) })
	}
	err := p.changes(ctx, began)
	ended()
	story.Wait()
	healed, healedAt := time.Now(), consensus.BootTime()
	p.Links.Heal()
	for _, x := range p.List {
		p.Stall(x, false)
		err = errors.Join(err, p.Start(x), p.SetClock(x, 0))
	}
	if err == nil {
		if err := p.Well(ctx); err != nil {
			p.violate("all is well, and still: %v", err)
		}
	}
	p.res.Back = time.Since(healed)
	if err == nil && p.Rolls > 0 {
		p.rolled(ctx)
	}
	if err == nil && p.res.InForce > 0 && p.Renewed() {
		p.believed(ctx, healed)
	}
	if err == nil && p.Triggers > 0 {
		p.settled(ctx, healedAt)
	}
	stop()
	load.Wait()
	p.res.Seconds = time.Since(began).Seconds()
	return err
}

func (p *play) violate(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.res.Violations) < 20 {
		p.res.Violations = append(p.res.Violations, fmt.Sprintf(format, args...))
	}
}

// changes makes changes one after another, each through an instance at random, until the time
// is up, and repeats what has no answer under the same id.
func (p *play) changes(ctx context.Context, began time.Time) error {
	for n := 0; time.Since(began) < p.For && (p.Changes == 0 || n < p.Changes); n++ {
		if err := p.change(ctx, began, n); err != nil {
			return err
		}
		if p.Progress != nil {
			p.mu.Lock()
			p.Progress(time.Since(began), &p.res)
			p.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Duration(p.rng.IntN(200)) * time.Millisecond):
		}
	}
	return nil
}

func (p *play) change(ctx context.Context, began time.Time, n int) error {
	id := fmt.Sprintf("change-%d", n)
	var base uint64
	var doc *clusterstate.Document
	at := time.Now()
	// A change may wait as long as the story lasts: then all is well, and it must be decided.
	for try := 0; ; try++ {
		if time.Since(at) > p.For+2*time.Minute {
			return fmt.Errorf("%s: not decided after %v", id, time.Since(at).Round(time.Second))
		}
		if try > 0 {
			p.res.Repeats++
			time.Sleep(20 * time.Millisecond)
			if time.Since(began) > p.For {
				p.heal()
			}
		}
		x := p.List[p.rng.IntN(len(p.List))]
		if !x.Up() {
			continue
		}
		p.mu.Lock()
		p.asked = x.Name
		p.mu.Unlock()
		call, stop := context.WithTimeout(ctx, 4*time.Second)
		if doc == nil {
			rev, err := x.Client.GetConfig(call, &schema.GetConfigRequest{})
			if err == nil {
				doc, err = clusterstate.DecodeDocument(rev.Document)
			}
			if err != nil {
				stop()
				continue
			}
			base = rev.Revision
			doc.Classes[0].PriorityWeight = float64(n + 10)
			if doc.Sections == nil {
				doc.Sections = map[string]map[string]string{}
			}
			if p.Drills > 0 {
				doc.Sections[leasedtask.Section] = map[string]string{"drill": strconv.Itoa(p.Drills)}
			}
			if p.Rolls > 0 {
				words := map[string]string{"roll": "on"}
				maps.Copy(words, doc.Sections[leasedtask.Section])
				doc.Sections[leasedtask.Section] = words
			}
			if p.Accounts > 0 {
				words := rateWords(p.Accounts, p.Instances, n/30)
				doc.Sections[ratelimit.Section] = words
				policy, wrong := ratelimit.ParsePolicy(words, classNames)
				if len(wrong) > 0 {
					stop()
					return fmt.Errorf("the rig's own words on rates: %v", wrong)
				}
				p.rates[policy.Version] = policy
			}
			if p.Renewed() {
				doc.Sections[placement.Section] = map[string]string{"cold_parts": "group"}
				doc.Sections[membership.Section] = map[string]string{"probe": beliefProbe}
				// Every twenty changes some of what is owned goes elsewhere, with everybody well.
				if delete(doc.Sections, weights.Section); n/20%2 == 1 {
					doc.Sections[weights.Section] = map[string]string{"weight.n1": "2.5", "weight.n2": "0.5"}
				}
			}
			if p.Triggers > 0 && p.Renewed() {
				doc.Sections[schedule.Section] = triggerWords(p.Options)
			}
			at = time.Now()
			try = 0
		}
		r, err := x.Client.Propose(call, &schema.ProposeRequest{Id: id, Base: base, Document: doc.Encode()})
		stop()
		if err != nil {
			continue
		}
		switch r.Code {
		case schema.ProposeReply_ACCEPTED:
			if try == 0 {
				p.res.Took = append(p.res.Took, time.Since(at))
			}
			p.trace(began, "%s is in force as revision %d, after %v", id, r.Revision, time.Since(at))
			p.acked[id] = r.Revision
			p.res.InForce++
			return nil
		case schema.ProposeReply_WITHDRAWN:
			p.trace(began, "%s is withdrawn: %v", id, r.Problems)
			p.ended[id] = true
			p.res.Withdrawn++
			return nil
		case schema.ProposeReply_INVALID:
			if p.Older == "" || !strings.Contains(strings.Join(r.Problems, " "), "renew it first") {
				return fmt.Errorf("%s: %v: %v", id, r.Code, r.Problems)
			}
			// All have been renewed, and the group does not know so yet: without its triggers, for now.
			p.trace(began, "%s is refused: %v", id, r.Problems)
			p.ended[id] = true
			return nil
		case schema.ProposeReply_NO_LEADER, schema.ProposeReply_UNKNOWN:
		default:
			// there is one client: nothing else may have come first
			return fmt.Errorf("%s: %v: %v", id, r.Code, r.Problems)
		}
	}
}

// heal ends what a story has left.
func (p *play) heal() {
	p.Links.Heal()
	for _, x := range p.List {
		p.Stall(x, false)
		_ = p.Start(x)
	}
}

// audit looks at every change at every instance, and at what all of them did.
func (p *play) audit(ctx context.Context) error {
	last := uint64(1)
	for _, rev := range p.acked {
		last = max(last, rev)
	}
	var first []byte
	for _, x := range p.List {
		var h *schema.HistoryReply
		if err := Until(ctx, "the history at "+x.Name, func(ctx context.Context) error {
			if _, err := x.Client.GetConfig(ctx, &schema.GetConfigRequest{}); err != nil { // a barrier
				return err
			}
			var err error
			h, err = x.Client.History(ctx, &schema.HistoryRequest{})
			return err
		}); err != nil {
			p.violate("%v", err)
			continue
		}
		seen := map[string]uint64{}
		var text bytes.Buffer
		for _, r := range h.Revisions {
			if was, ok := seen[r.Id]; ok {
				p.violate("%s: change %s is revision %d and %d", x.Name, r.Id, was, r.Revision)
			}
			seen[r.Id] = r.Revision
			fmt.Fprintln(&text, r.Revision, r.Id, r.AtMs, r.ForceMs)
		}
		for id, rev := range p.acked {
			if rev >= h.Oldest && seen[id] != rev {
				p.violate("%s: change %s was in force as revision %d and is %d", x.Name, id, rev, seen[id])
			}
		}
		for id := range p.ended {
			if seen[id] != 0 {
				p.violate("%s: change %s was withdrawn and is revision %d", x.Name, id, seen[id])
			}
		}
		if newest := h.Revisions[0].Revision; newest != last {
			p.violate("%s: revision %d is the newest, %d was in force last", x.Name, newest, last)
		}
		if first == nil {
			first = text.Bytes()
		}
		if !bytes.Equal(first, text.Bytes()) {
			p.violate("%s has another history than %s", x.Name, p.List[0].Name)
		}
	}
	all, err := p.journals()
	if err != nil {
		return err
	}
	broken, admitted := auditPolicies(all)
	p.res.Admitted, p.res.Pauses = admitted, pauses(all)
	acted, acts, gaps := auditDuties(all)
	p.res.Acts, p.res.Gaps = acts, gaps
	rated := auditRates(all, p.rates)
	p.res.Rated, p.res.RateUse = rated.admitted, rated.use
	p.res.RateGap, p.res.Accounts = rated.gap, rated.accounts
	shared, parts := auditParts(all)
	p.res.Parts = parts
	rolls, out := auditRolls(all)
	p.res.Out = out
	if p.Rolls > 0 && out == 0 {
		p.violate("no instance was taken out by a rolling restart: there was nothing to audit")
	}
	var fired fired
	if p.Triggers > 0 {
		fired = p.auditTriggers(all)
		p.res.Fired = fired.Fired
	}
	ends := p.auditEnds(all)
	for _, b := range slices.Concat(broken, acted, rated.broken, shared, fired.broken, rolls, ends) {
		p.violate("%s", b)
	}
	if p.Accounts > 0 && p.Rate > 0 && rated.admitted == 0 {
		p.violate("no account's job was admitted: there was nothing to audit")
	}
	if p.Drills > 0 && acts == 0 {
		p.violate("nobody acted in a duty: there was nothing to audit")
	}
	j := p.res.Jobs
	if j.Unsaid > 0 {
		p.violate("%d refusals did not say when to come back", j.Unsaid)
	}
	if j.Unstated > 0 {
		p.violate("%d answers are of no kind that the protocol has", j.Unstated)
	}
	if p.Rate > 0 && p.res.Admitted == 0 {
		p.violate("no job was admitted: there was nothing to audit")
	}
	if len(p.res.Violations) > 0 {
		for _, e := range all[max(0, len(all)-30):] {
			p.res.Last = append(p.res.Last, fmt.Sprintf("%v %s %s %s", e.at, e.who, e.what, e.rest))
		}
	}
	return nil
}

// Shrink leaves out faults for as long as the story still breaks something, halves first.
func Shrink(story []Fault, breaks func([]Fault) bool) []Fault {
	for size := (len(story) + 1) / 2; size > 0; size /= 2 {
		for at := 0; at < len(story); {
			without := slices.Concat(story[:at], story[min(at+size, len(story)):])
			if breaks(without) {
				story = without
			} else {
				at += size
			}
		}
	}
	return story
}
