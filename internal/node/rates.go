package node

import (
	"fmt"
	"slices"
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
	"moorstack/internal/schema"
)

// rates are an instance's part in keeping accounts' rates over all fronts. All but refused belongs to the
// node's loop: a job is admitted, and a slice lent, in the turn in which the clock was read.
type rates struct {
	i         *Instance
	log       logrus.FieldLogger
	front     *ratelimit.Limiter
	authority *ratelimit.Authority
	table     *placement.Table
	standing  consensus.ClusterView
	own       placement.Session // as it was when the table was told
	timer     *eventloop.Timer
	refused   atomic.Uint64
	since     map[ratelimit.Key]uint64 // refused since the last line of the log
	logged    time.Duration
}

// longestName is how much of an account's name counts.
const longestName = 128

// logEvery is the time between two lines on refusals, and mostNamed how many accounts are counted for it.
const (
	logEvery  = 10 * time.Second
	mostNamed = 1000
)

func newRates(i *Instance) *rates {
	return &rates{i: i, log: i.log.WithField("part", "rates"), authority: ratelimit.NewAuthority(),
		front: ratelimit.NewLimiter(consensus.BootTime()), since: map[ratelimit.Key]uint64{}}
}

func (r *rates) open() {
	r.log = r.i.log.WithField("part", "rates")
}

// limitsOf is what a document says of rates. It has been validated.
func limitsOf(d *clusterstate.Document) ratelimit.Policy {
	p, _ := ratelimit.ParsePolicy(d.Sections[ratelimit.Section], classesOf(d))
	return p
}

func classesOf(d *clusterstate.Document) []string {
	var names []string
	for _, c := range d.Classes {
		names = append(names, c.Name)
	}
	return names
}

// read implements follower.
func (r *rates) read(d *clusterstate.Document, _ balancer.Settings) func() {
	p := limitsOf(d)
	return func() { r.configure(p) }
}

// configure takes over what the configuration in force says, in the turn in which the fronts run it.
func (r *rates) configure(p ratelimit.Policy) {
	now := consensus.BootTime()
	if p.Version == r.front.Policy().Version {
		return
	}
	r.front.Configure(now, p)
	r.authority.Configure(now, p)
	header := ""
	if p.Version != 0 && p.AccountHeader != ratelimit.AccountIsTenant {
		header = p.AccountHeader
	}
	r.i.node.front.SetAccountHeader(header)
	r.i.gate.note("rates %d", p.Version)
	r.timer.Stop()
	if p.Version != 0 {
		r.log.WithFields(
			logrus.Fields{"accounts": len(p.AccountLimits), "tick": p.TickInterval, "term": p.GrantDuration},
		).
			Info(
				"accounts' rates are kept over all fronts",
			)
		r.timer = r.i.node.loop.After(p.TickInterval, r.tick)
	}
}

// stands implements follower.
func (r *rates) stands(s consensus.ClusterView) {
	tables := make([]*placement.Table, len(s.Views))
	for n, v := range s.Views {
		tables[n] = placement.NewTable(v)
	}
	r.i.node.loop.Post(func() {
		now := consensus.BootTime()
		skipped := s.SnapshotInstalled
		for _, t := range tables {
			r.view(now, t, s, skipped)
			skipped = false
		}
		if len(tables) == 0 && s.Session != r.own && r.table != nil {
			r.view(now, r.table, s, false)
		}
		r.standing = s
	})
}

func (r *rates) view(now time.Duration, t *placement.Table, s consensus.ClusterView, skipped bool) {
	own := placement.Session{}
	for _, m := range t.View.Members {
		if m.Session == s.Session {
			own = s.Session
		}
	}
	r.table, r.own = t, s.Session
	r.front.SetView(now, t, own)
	r.authority.SetView(now, t, own, s.LeaseDuration, skipped)
	r.i.gate.note("view %d %d", t.View.Number, len(t.View.Members))
}

// take admits a job by its account's rate, or says when to come back.
func (r *rates) take(now time.Duration, t *broker.Request) (broker.Rejection, bool) {
	if !r.front.Enabled() {
		return broker.Rejection{}, true
	}
	account, class := t.Account, r.i.names.Classes[t.Class]
	if r.front.Policy().AccountHeader == ratelimit.AccountIsTenant {
		if account = ""; t.Tenant < len(r.i.names.Tenants) {
			account = r.i.names.Tenants[t.Tenant]
		}
	}
	if len(account) > longestName {
		account = account[:longestName] // a name is no place to keep things
	}
	no, ok := r.front.Admit(now, account, class)
	if ok {
		if r.i.gate.journal != nil {
			fmt.Fprintf(r.i.gate.journal, "%d rate %q %q\n", now, account, class)
		}
		return broker.Rejection{}, true
	}
	r.refused.Add(1)
	if len(r.since) < mostNamed || r.since[no.Key] > 0 {
		r.since[no.Key]++
	}
	return broker.Rejection{
		Reason:     fmt.Sprintf("account %q has used its rate", no.Key),
		RetryAfter: no.RetryAfter,
	}, false
}

// tick says what is to be said of slices.
//
// Hazard: the process may have stood still before this turn. The right is looked at with the clock as it
// is now, and what goes out ends at its front by a time that the front read itself.
func (r *rates) tick() {
	p := r.front.Policy()
	r.timer = r.i.node.loop.After(p.TickInterval, r.tick)
	now := consensus.BootTime()
	asks, lefts := r.front.Tick(now)
	for seat, asks := range asks {
		if seat == r.own {
			for _, a := range asks {
				r.authority.ReceiveRequest(now, seat, a)
			}
			continue
		}
		for part := range slices.Chunk(asks, mostWords) {
			m := r.message(seat)
			for _, a := range part {
				m.Asks = append(m.Asks, &schema.RateAsk{Account: a.Account, Class: a.Class, Report: a.Seq,
					Acked: a.AckedGrant, Kept: uint64(a.Remaining), Back: uint64(a.Returned),
					Want:    uint64(a.Wanted),
					AskedNs: int64(a.SentAt)})
			}
			r.send(seat, m)
		}
	}
	// Hazard: what an owner cedes must be there before its word that it has left, by which less is known.
	r.tellCessions()
	r.tellLeft(now, lefts)
	if now < r.standing.ExpiresAt {
		r.tellGrants(now)
	}
	if len(r.since) > 0 && now-r.logged > logEvery {
		r.tellRefused(now)
	}
}

// mostWords is how many buckets a message names: one that is longer than a message may be is lost whole.
const mostWords = 5000

func (r *rates) tellCessions() {
	for seat, c := range r.authority.PendingTransfers() {
		m := r.message(seat)
		m.FromEpoch = c.From.Epoch // it may have no session any more
		m.Cession = &schema.RateCession{View: c.View, Shards: map[uint32]int64{}}
		for s, x := range c.Shards {
			m.Cession.Shards[uint32(s)] = int64(x.FilledFor)
		}
		for _, b := range c.Buckets {
			m.Cession.Books = append(m.Cession.Books, &schema.RateBook{Account: b.Account, Class: b.Class,
				Level: uint64(b.Level), Out: uint64(b.Outstanding)})
		}
		r.send(seat, m)
	}
}

func (r *rates) tellLeft(now time.Duration, lefts map[placement.Session][]ratelimit.DrainConfirmation) {
	for seat, words := range lefts {
		for _, l := range words {
			if seat == r.own {
				r.authority.ReceiveDrainConfirmation(now, seat, l)
				continue
			}
			m := r.message(seat)
			m.Left = &schema.RateLeft{View: l.View, Total: uint64(l.Total)}
			for _, b := range l.Buckets {
				m.Left.Books = append(m.Left.Books, &schema.RateBook{Account: b.Account, Class: b.Class,
					Out: uint64(b.Outstanding)})
			}
			r.send(seat, m)
		}
	}
}

func (r *rates) tellGrants(now time.Duration) {
	for seat, grants := range r.authority.Tick(now) {
		if seat == r.own {
			for _, g := range grants {
				r.front.ReceiveGrant(now, seat, g)
			}
			continue
		}
		for part := range slices.Chunk(grants, mostWords) {
			m := r.message(seat)
			for _, g := range part {
				m.View = g.View
				m.Grants = append(m.Grants, &schema.RateGrant{Account: g.Account, Class: g.Class,
					Report: g.RequestSeq, Seq: g.Seq, Jobs: uint64(g.Tokens),
					AskedNs: int64(g.RequestSentAt)})
			}
			r.send(seat, m)
		}
	}
}

// tellRefused writes a line on who was refused most.
func (r *rates) tellRefused(now time.Duration) {
	var most ratelimit.Key
	sum := uint64(0)
	for k, n := range r.since {
		if sum += n; n > r.since[most] {
			most = k
		}
	}
	r.log.WithFields(logrus.Fields{"refused": sum, "accounts": len(r.since), "most": most.String(),
		"of_it": r.since[most]}).Info("jobs are refused: accounts have used their rates")
	clear(r.since)
	r.logged = now
}

func (r *rates) message(to placement.Session) *schema.RateMessage {
	return &schema.RateMessage{Version: r.front.Policy().Version, FromEpoch: r.own.Epoch, ToEpoch: to.Epoch}
}

func (r *rates) send(to placement.Session, m *schema.RateMessage) {
	for _, x := range r.i.runner.Status().Members {
		if x.ID == to.Member {
			to := clusterstate.Member{ID: x.ID, Name: x.Name, Address: x.Address}
			r.i.network.SendSession(to, &schema.SessionMessage{Rate: m})
			return
		}
	}
}

func cessionOf(m *schema.RateCession) *ratelimit.Transfer {
	c := &ratelimit.Transfer{View: m.View, Shards: map[int]ratelimit.TransferredShard{}}
	for s, lent := range m.Shards {
		c.Shards[int(s)] = ratelimit.TransferredShard{FilledFor: time.Duration(lent)}
	}
	for _, b := range m.Books {
		c.Buckets = append(
			c.Buckets,
			ratelimit.BucketState{Key: ratelimit.Key{Account: b.Account, Class: b.Class},
				Level: int(min(b.Level, 1<<40)), Outstanding: int(min(b.Out, 1<<40))},
		)
	}
	return c
}

// heard takes another instance's word. It is called on a goroutine of the peers' network.
func (r *rates) heard(from uint64, m *schema.RateMessage) {
	r.i.node.loop.Post(func() {
		// Hazards: words on another configuration's buckets, and words from or for a session that is no
		// more.
		if m.Version != r.front.Policy().Version || m.Version == 0 || m.ToEpoch != r.own.Epoch {
			return
		}
		now, seat := consensus.BootTime(), placement.Session{Member: from, Epoch: m.FromEpoch}
		if m.Cession != nil {
			c := cessionOf(m.Cession)
			c.From = seat
			r.authority.ReceiveTransfer(now, c)
		}
		if l := m.Left; l != nil {
			left := ratelimit.DrainConfirmation{View: l.View, Total: int(min(l.Total, 1<<30))}
			for _, b := range l.Books {
				left.Buckets = append(
					left.Buckets,
					ratelimit.BucketState{Key: ratelimit.Key{Account: b.Account,
						Class: b.Class}, Outstanding: int(min(b.Out, 1<<40))},
				)
			}
			r.authority.ReceiveDrainConfirmation(now, seat, left)
		}
		for _, a := range m.Asks {
			if most := uint64(1 << 40); a.Kept > most || a.Back > most || a.Want > most {
				continue // no front has so much
			}
			r.authority.ReceiveRequest(
				now,
				seat,
				ratelimit.TokenRequest{Key: ratelimit.Key{Account: a.Account, Class: a.Class},
					Seq: a.Report, AckedGrant: a.Acked, Remaining: int(a.Kept), Returned: int(a.Back),
					Wanted: int(a.Want),
					SentAt: time.Duration(a.AskedNs)},
			)
		}
		for _, g := range m.Grants {
			if g.AskedNs > int64(now) || g.Jobs > 1<<40 {
				continue // what was asked for in the time to come
			}
			r.front.ReceiveGrant(
				now,
				seat,
				ratelimit.Grant{Key: ratelimit.Key{Account: g.Account, Class: g.Class},
					RequestSeq: g.Report, Seq: g.Seq, Tokens: int(g.Jobs),
					RequestSentAt: time.Duration(g.AskedNs),
					View:          m.View},
			)
		}
	})
}
