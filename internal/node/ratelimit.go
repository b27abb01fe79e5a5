package node

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"moorstack/balancer"
	"moorstack/internal/cluster/clusterstate"
	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/ratelimit"
	"moorstack/internal/netio/eventloop"
	"moorstack/internal/proxy/broker"
	"moorstack/internal/proxy/routing"
)

const (
	// maxAccountName is how many bytes of an account's name are used. Without a bound, clients could store
	// data here in the names that they send.
	maxAccountName = 128
	// rejectionLogInterval is the minimum time between two log lines on rejections by rate.
	rejectionLogInterval = 10 * time.Second
	// maxRejectedAccounts is how many buckets of accounts are counted for one such line.
	maxRejectedAccounts = 1000
)

// rateLimitDriver drives package ratelimit: this instance's local token buckets, and the buckets of the
// accounts that it owns. All but the counter is confined to the node's loop: a job is admitted, and tokens
// are granted, in the turn in which the clock was read.
type rateLimitDriver struct {
	env              *environment
	log              logrus.FieldLogger
	names            routing.KnownNames // of classes and tenants, by index
	limiter          *ratelimit.Limiter
	authority        *ratelimit.Authority
	table            *placement.Table
	view             consensus.ClusterView
	session          placement.Session // this instance's session in the table's view
	timer            *eventloop.Timer
	rejected         atomic.Uint64
	recentRejections rejections
}

// rejections counts rejected jobs by bucket since the last log line.
type rejections struct {
	byKey  map[ratelimit.Key]uint64
	logged time.Duration
}

func newRateLimitDriver(env *environment, names routing.KnownNames) *rateLimitDriver {
	return &rateLimitDriver{env: env, log: env.component("ratelimit"), names: names,
		authority: ratelimit.NewAuthority(), limiter: ratelimit.NewLimiter(consensus.BootTime()),
		recentRejections: rejections{byKey: map[ratelimit.Key]uint64{}}}
}

// rateLimitPolicy parses the section of a validated document.
func rateLimitPolicy(d *clusterstate.Document) ratelimit.Policy {
	p, _ := ratelimit.ParsePolicy(d.Sections[ratelimit.Section], classNames(d))
	return p
}

func classNames(d *clusterstate.Document) []string {
	names := make([]string, len(d.Classes))
	for n, c := range d.Classes {
		names[n] = c.Name
	}
	return names
}

// Supports implements driver.
func (r *rateLimitDriver) Supports(*clusterstate.Document) error { return nil }

// Prepare implements driver.
func (r *rateLimitDriver) Prepare(d *clusterstate.Document, _ balancer.Settings) preparedChange {
	return &rateLimitChange{driver: r, policy: rateLimitPolicy(d)}
}

type rateLimitChange struct {
	driver *rateLimitDriver
	policy ratelimit.Policy
}

// Apply implements preparedChange.
func (c *rateLimitChange) Apply() {
	r, p := c.driver, c.policy
	now := consensus.BootTime()
	if p.Version == r.limiter.Policy().Version {
		return
	}
	r.limiter.Configure(now, p)
	r.authority.Configure(now, p)
	header := ""
	if p.Version != 0 && p.AccountHeader != ratelimit.AccountIsTenant {
		header = p.AccountHeader
	}
	r.env.node.front.SetAccountHeader(header)
	r.env.audit.write("rates %d", p.Version)
	r.timer.Stop()
	if p.Version != 0 {
		r.log.WithFields(logrus.Fields{"count": len(p.AccountLimits), "interval": p.TickInterval,
			"duration": p.GrantDuration}).
			Info("rate limits are enforced across all instances")
		r.timer = r.env.loop().After(p.TickInterval, r.tick)
	}
}

// ClusterChanged implements driver.
func (r *rateLimitDriver) ClusterChanged(v consensus.ClusterView) {
	// Building the tables takes thousands of hashes, so it is done here and not on the loop.
	tables := make([]*placement.Table, len(v.Views))
	for n, view := range v.Views {
		tables[n] = placement.NewTable(view)
	}
	r.env.loop().Post(func() { r.setView(v, tables) })
}

func (r *rateLimitDriver) setView(v consensus.ClusterView, tables []*placement.Table) {
	now := consensus.BootTime()
	skipped := v.SnapshotInstalled
	for _, t := range tables {
		r.setTable(now, t, v, skipped)
		skipped = false
	}
	if len(tables) == 0 && v.Session != r.session && r.table != nil {
		r.setTable(now, r.table, v, false)
	}
	r.view = v
}

func (r *rateLimitDriver) setTable(now time.Duration, t *placement.Table, v consensus.ClusterView,
	skipped bool) {
	var session placement.Session // zero if this instance is not in the view
	for _, m := range t.View.Members {
		if m.Session == v.Session {
			session = v.Session
		}
	}
	r.table, r.session = t, v.Session
	r.limiter.SetView(now, t, session)
	r.authority.SetView(now, t, session, v.LeaseDuration, skipped)
	r.env.audit.write("view %d %d", t.View.Number, len(t.View.Members))
}

// admit takes a token of the job's account, or rejects the job with the time after which to retry.
func (r *rateLimitDriver) admit(now time.Duration, request *broker.Request) (broker.Rejection, bool) {
	if !r.limiter.Enabled() {
		return broker.Rejection{}, true
	}
	account, class := r.accountOf(request), r.names.Classes[request.Class]
	rejection, ok := r.limiter.Admit(now, account, class)
	if ok {
		if r.env.audit.enabled() {
			r.env.audit.writeAt(now, "rate %q %q", account, class)
		}
		return broker.Rejection{}, true
	}
	r.rejected.Add(1)
	r.recentRejections.add(rejection.Key)
	return broker.Rejection{Reason: fmt.Sprintf("account %q has used its rate", rejection.Key),
		RetryAfter: rejection.RetryAfter}, false
}

func (r *rateLimitDriver) accountOf(request *broker.Request) string {
	account := request.Account
	if r.limiter.Policy().AccountHeader == ratelimit.AccountIsTenant {
		if account = ""; request.Tenant < len(r.names.Tenants) {
			account = r.names.Tenants[request.Tenant]
		}
	}
	return account[:min(len(account), maxAccountName)]
}

// tick sends requests, transfers, confirmations and grants to other instances, and handles those of this
// instance to itself.
//
// The process may have been stalled before this turn. Therefore the lease is checked against the current
// time, and granted tokens expire by a time that the requesting front read itself.
func (r *rateLimitDriver) tick() {
	p := r.limiter.Policy()
	r.timer = r.env.loop().After(p.TickInterval, r.tick)
	now := consensus.BootTime()
	requests, confirmations := r.limiter.Tick(now)
	r.sendRequests(now, requests)
	// An owner's transfer must arrive before its confirmation that it has drained, which is based on less
	// information.
	r.sendTransfers()
	r.sendConfirmations(now, confirmations)
	if now < r.view.ExpiresAt {
		r.sendGrants(now)
	}
	if now-r.recentRejections.logged > rejectionLogInterval {
		r.recentRejections.log(now, r.log)
	}
}

func (r *rejections) add(k ratelimit.Key) {
	if len(r.byKey) < maxRejectedAccounts || r.byKey[k] > 0 {
		r.byKey[k]++
	}
}

// log logs the jobs rejected since the last line, if there are any, with the account that has the most.
func (r *rejections) log(now time.Duration, log logrus.FieldLogger) {
	if len(r.byKey) == 0 {
		return
	}
	top, total := r.summary()
	log.WithFields(logrus.Fields{"count": total, "accounts": len(r.byKey), "account": top.String(),
		"account_count": r.byKey[top]}).Info("jobs are rejected by rate limits")
	clear(r.byKey)
	r.logged = now
}

// summary returns the bucket with the most rejections, and the total of all buckets.
func (r *rejections) summary() (top ratelimit.Key, total uint64) {
	for k, n := range r.byKey {
		if total += n; n > r.byKey[top] {
			top = k
		}
	}
	return top, total
}
