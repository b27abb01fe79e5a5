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

// RunOptions is what a story is played with.
type RunOptions struct {
	ClusterOptions
	Schedule   []Fault
	Duration   time.Duration // that changes and jobs go on for
	MaxChanges int           // at the most; 0: as many as there is time for
	Trace      io.Writer     // each fault and change, a line; nil: none
	// OnProgress is told how far it has come.
	OnProgress func(at time.Duration, r *Result)
}

// Result is what was measured and found.
type Result struct {
	Instances int     `json:"instances"`
	Seconds   float64 `json:"seconds"`
	Faults    int     `json:"faults"`
	InForce   int     `json:"in_force"`
	Withdrawn int     `json:"withdrawn"`
	Retries   int     `json:"repeats"` // calls made again under the same id
	// from propose to in force, of those whose first call was answered
	ProposeLatencies []time.Duration `json:"took_ns"`
	AdmissionPauses  []time.Duration `json:"pauses_ns"` // in which an instance admitted nothing for a change
	// from the last fault's end until all admitted jobs again
	RecoveryTime time.Duration `json:"back_ns"`
	// from the last fault's end until each instance believes of each other that it is there
	MembershipRecoveryTime time.Duration `json:"believed_ns"`
	// between all instances, while nothing happened
	MessagesPerSecond float64 `json:"messages_a_s"`
	Admitted          int     `json:"admitted"`
	TaskActs          int     `json:"acts"`  // in duties
	RatedAdmissions   int     `json:"rated"` // admissions of accounts whose rate is kept
	// RateUtilization is the part of what the accounts' rates allow that was admitted.
	RateUtilization float64 `json:"rate_use"`
	// MaxAdmissionGap is the longest time between two admissions of an account that has a line of its own.
	MaxAdmissionGap    time.Duration `json:"rate_gap_ns"`
	Accounts           int           `json:"accounts"` // that were admitted something
	BudgetShares       int           `json:"parts"`    // of cold workers' budgets, each held for a while
	Triggers           TriggerCounts `json:"fired"`
	RollingRestarts    int           `json:"rolls"` // rolling restarts that came to their end
	RestartedInstances int           `json:"out"`   // instances that they took out
	// in which nobody acted in a duty that went from one to another
	TaskGaps    []time.Duration `json:"gaps_ns"`
	Jobs        JobCounts       `json:"jobs"`
	Violations  []string        `json:"violations,omitempty"`
	LastEntries []string        `json:"last,omitempty"` // what the instances did last before what broke
}

type run struct {
	RunOptions
	*Cluster
	mu            sync.Mutex
	result        Result
	acknowledged  map[string]uint64
	withdrawn     map[string]bool // changes that were withdrawn
	rng           *rand.Rand
	proposedRates map[uint64]ratelimit.Policy // that were proposed, by their versions
	lastProposer  string                      // whom the client has asked last
}

// Run plays a story round real processes and audits it.
func Run(ctx context.Context, o RunOptions) (*Result, error) {
	f, err := StartCluster(o.ClusterOptions)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	p := &run{RunOptions: o, Cluster: f, acknowledged: map[string]uint64{}, withdrawn: map[string]bool{},
		rng: rand.New(rand.NewPCG(o.Seed, 11)), proposedRates: map[uint64]ratelimit.Policy{}}
	p.result.Instances = o.Instances
	if err := f.FormGroup(ctx); err != nil {
		return nil, err
	}
	if err := p.measureIdleMessages(ctx); err != nil {
		return nil, err
	}
	if err := p.execute(ctx); err != nil {
		return nil, err
	}
	return &p.result, p.audit(ctx)
}

// measureIdleMessages counts the messages between instances while nothing happens.
func (p *run) measureIdleMessages(ctx context.Context) error {
	count := func() (n uint64, err error) {
		for _, x := range p.Processes {
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
	p.result.MessagesPerSecond = float64(after-before) / time.Since(began).Seconds()
	return err
}

func (p *run) trace(began time.Time, format string, args ...any) {
	if p.Trace != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		fmt.Fprintf(p.Trace, "%8.3fs  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	}
}

func (p *run) execute(ctx context.Context) error {
	began := time.Now()
	jobs, stop := context.WithCancel(ctx)
	var load sync.WaitGroup
	if p.JobsPerSecond > 0 {
		for _, x := range p.Processes {
			load.Go(func() { p.sendJobs(jobs, x, &p.result.Jobs, &p.mu) })
		}
	}
	var story sync.WaitGroup
	telling, ended := context.WithCancel(ctx)
	defer ended()
	story.Go(func() { p.injectFaults(telling, began) })
	if p.MaxRestarting > 0 {
		story.Go(func() { p.restartRepeatedly(telling, began) })
	}
	err := p.makeChanges(ctx, began)
	ended()
	story.Wait()
	healed, healedAt := time.Now(), consensus.BootTime()
	p.Links.Heal()
	for _, x := range p.Processes {
		p.SetStalled(x, false)
		err = errors.Join(err, p.StartProcess(x), p.SetClock(x, 0))
	}
	if err == nil {
		if err := p.WaitAdmitting(ctx); err != nil {
			p.violate("all is well, and still: %v", err)
		}
	}
	p.result.RecoveryTime = time.Since(healed)
	if err == nil && p.MaxRestarting > 0 {
		p.awaitRestartEnd(ctx)
	}
	if err == nil && p.result.InForce > 0 && p.AllUpgraded() {
		p.awaitMembership(ctx, healed)
	}
	if err == nil && p.Triggers > 0 {
		p.awaitOutcomes(ctx, healedAt)
	}
	stop()
	load.Wait()
	p.result.Seconds = time.Since(began).Seconds()
	return err
}

func (p *run) violate(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.result.Violations) < 20 {
		p.result.Violations = append(p.result.Violations, fmt.Sprintf(format, args...))
	}
}

// makeChanges makes changes one after another, each through an instance at random, until the time
// is up, and repeats what has no answer under the same id.
func (p *run) makeChanges(ctx context.Context, began time.Time) error {
	for n := 0; time.Since(began) < p.Duration && (p.MaxChanges == 0 || n < p.MaxChanges); n++ {
		if err := p.makeChange(ctx, began, n); err != nil {
			return err
		}
		if p.OnProgress != nil {
			p.mu.Lock()
			p.OnProgress(time.Since(began), &p.result)
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

func (p *run) makeChange(ctx context.Context, began time.Time, n int) error {
	id := fmt.Sprintf("change-%d", n)
	var base uint64
	var doc *clusterstate.Document
	at := time.Now()
	// A change may wait as long as the story lasts: then all is well, and it must be decided.
	for try := 0; ; try++ {
		if time.Since(at) > p.Duration+2*time.Minute {
			return fmt.Errorf("%s: not decided after %v", id, time.Since(at).Round(time.Second))
		}
		if try > 0 {
			p.result.Retries++
			time.Sleep(20 * time.Millisecond)
			if time.Since(began) > p.Duration {
				p.endFaults()
			}
		}
		x := p.Processes[p.rng.IntN(len(p.Processes))]
		if !x.Running() {
			continue
		}
		p.mu.Lock()
		p.lastProposer = x.Name
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
			if p.DrillTasks > 0 {
				doc.Sections[leasedtask.Section] = map[string]string{"drill": strconv.Itoa(p.DrillTasks)}
			}
			if p.MaxRestarting > 0 {
				words := map[string]string{"roll": "on"}
				maps.Copy(words, doc.Sections[leasedtask.Section])
				doc.Sections[leasedtask.Section] = words
			}
			if p.Accounts > 0 {
				words := rateSection(p.Accounts, p.Instances, n/30)
				doc.Sections[ratelimit.Section] = words
				policy, wrong := ratelimit.ParsePolicy(words, classNames)
				if len(wrong) > 0 {
					stop()
					return fmt.Errorf("the rig's own words on rates: %v", wrong)
				}
				p.proposedRates[policy.Version] = policy
			}
			if p.AllUpgraded() {
				doc.Sections[placement.Section] = map[string]string{"cold_parts": "group"}
				doc.Sections[membership.Section] = map[string]string{"probe": probeInterval}
				// Every twenty changes some of what is owned goes elsewhere, with everybody well.
				if delete(doc.Sections, weights.Section); n/20%2 == 1 {
					doc.Sections[weights.Section] = map[string]string{"weight.n1": "2.5", "weight.n2": "0.5"}
				}
			}
			if p.Triggers > 0 && p.AllUpgraded() {
				doc.Sections[schedule.Section] = triggerSection(p.ClusterOptions)
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
				p.result.ProposeLatencies = append(p.result.ProposeLatencies, time.Since(at))
			}
			p.trace(began, "%s is in force as revision %d, after %v", id, r.Revision, time.Since(at))
			p.acknowledged[id] = r.Revision
			p.result.InForce++
			return nil
		case schema.ProposeReply_WITHDRAWN:
			p.trace(began, "%s is withdrawn: %v", id, r.Problems)
			p.withdrawn[id] = true
			p.result.Withdrawn++
			return nil
		case schema.ProposeReply_INVALID:
			if p.OlderProgram == "" || !strings.Contains(strings.Join(r.Problems, " "), "renew it first") {
				return fmt.Errorf("%s: %v: %v", id, r.Code, r.Problems)
			}
			// All have been renewed, and the group does not know so yet: without its triggers, for now.
			p.trace(began, "%s is refused: %v", id, r.Problems)
			p.withdrawn[id] = true
			return nil
		case schema.ProposeReply_NO_LEADER, schema.ProposeReply_UNKNOWN:
		default:
			// there is one client: nothing else may have come first
			return fmt.Errorf("%s: %v: %v", id, r.Code, r.Problems)
		}
	}
}

// endFaults ends what a story has left.
func (p *run) endFaults() {
	p.Links.Heal()
	for _, x := range p.Processes {
		p.SetStalled(x, false)
		_ = p.StartProcess(x)
	}
}

// audit looks at every change at every instance, and at what all of them did.
func (p *run) audit(ctx context.Context) error {
	last := uint64(1)
	for _, rev := range p.acknowledged {
		last = max(last, rev)
	}
	var first []byte
	for _, x := range p.Processes {
		var h *schema.HistoryReply
		if err := RetryUntil(ctx, "the history at "+x.Name, func(ctx context.Context) error {
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
		for id, rev := range p.acknowledged {
			if rev >= h.Oldest && seen[id] != rev {
				p.violate("%s: change %s was in force as revision %d and is %d", x.Name, id, rev, seen[id])
			}
		}
		for id := range p.withdrawn {
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
			p.violate("%s has another history than %s", x.Name, p.Processes[0].Name)
		}
	}
	all, err := p.readJournals()
	if err != nil {
		return err
	}
	broken, admitted := auditPolicies(all)
	p.result.Admitted, p.result.AdmissionPauses = admitted, admissionPauses(all)
	acted, acts, gaps := auditTasks(all)
	p.result.TaskActs, p.result.TaskGaps = acts, gaps
	rated := auditRates(all, p.proposedRates)
	p.result.RatedAdmissions, p.result.RateUtilization = rated.admitted, rated.utilization
	p.result.MaxAdmissionGap, p.result.Accounts = rated.maxGap, rated.accounts
	shared, parts := auditBudgetShares(all)
	p.result.BudgetShares = parts
	rolls, out := auditRollingRestarts(all)
	p.result.RestartedInstances = out
	if p.MaxRestarting > 0 && out == 0 {
		p.violate("no instance was taken out by a rolling restart: there was nothing to audit")
	}
	var fired triggerAudit
	if p.Triggers > 0 {
		fired = p.auditTriggers(all)
		p.result.Triggers = fired.TriggerCounts
	}
	ends := p.auditShutdowns(all)
	for _, b := range slices.Concat(broken, acted, rated.violations, shared, fired.violations, rolls, ends) {
		p.violate("%s", b)
	}
	if p.Accounts > 0 && p.JobsPerSecond > 0 && rated.admitted == 0 {
		p.violate("no account's job was admitted: there was nothing to audit")
	}
	if p.DrillTasks > 0 && acts == 0 {
		p.violate("nobody acted in a duty: there was nothing to audit")
	}
	j := p.result.Jobs
	if j.WithoutRetryAfter > 0 {
		p.violate("%d refusals did not say when to come back", j.WithoutRetryAfter)
	}
	if j.UnknownStatus > 0 {
		p.violate("%d answers are of no kind that the protocol has", j.UnknownStatus)
	}
	if p.JobsPerSecond > 0 && p.result.Admitted == 0 {
		p.violate("no job was admitted: there was nothing to audit")
	}
	if len(p.result.Violations) > 0 {
		for _, e := range all[max(0, len(all)-30):] {
			p.result.LastEntries = append(
				p.result.LastEntries,
				fmt.Sprintf("%v %s %s %s", e.at, e.instance, e.event, e.args),
			)
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
