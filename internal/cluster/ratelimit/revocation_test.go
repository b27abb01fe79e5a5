package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"moorstack/internal/cluster/placement"
)

// testAccount is owned by the first of three members, or by the second if the first is not in the view.
const testAccount = "m2232"

var testKey = Key{Account: testAccount}

// testPolicy returns a policy with a limit for testAccount.
func testPolicy(t *testing.T, limit string, values map[string]string) Policy {
	t.Helper()
	section := map[string]string{"account": "X", "account." + testAccount: limit}
	for key, value := range values {
		section[key] = value
	}
	p, problems := ParsePolicy(section, nil)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	return p
}

// threeSessions returns sessions of members 1 to 3.
func threeSessions() (sessions []placement.Session) {
	for id := range uint64(3) {
		sessions = append(sessions, placement.Session{Member: id + 1, Epoch: id + 1})
	}
	return sessions
}

// ownerFailover is a group of three in which the first member has lent all tokens to the front of the third
// member and has ended. In the second view, the second member owns the account.
type ownerFailover struct {
	sessions                []placement.Session
	firstTable, secondTable *placement.Table
	policy                  Policy
	owner                   *Authority // of the second member
	limiter                 *Limiter   // of the third member
	now                     time.Duration
}

const testLease = 500 * time.Millisecond

func newOwnerFailover(t *testing.T) *ownerFailover {
	t.Helper()
	sessions := threeSessions()
	r := &ownerFailover{sessions: sessions, firstTable: tableOf(1, sessions...), now: time.Minute,
		policy: testPolicy(t, "100/s burst=20", map[string]string{"tick": "50ms", "term": "2s"}),
		owner:  NewAuthority(), limiter: NewLimiter(0)}
	r.secondTable = placement.NewTable(placement.View{Number: 2, Expired: sessions[:1],
		Members: []placement.Member{{Session: sessions[1]}, {Session: sessions[2]}}})
	firstOwner := NewAuthority()
	for _, a := range []*Authority{firstOwner, r.owner} {
		a.Configure(0, r.policy)
	}
	r.limiter.Configure(0, r.policy)
	firstOwner.SetView(0, r.firstTable, sessions[0], testLease, false)
	r.owner.SetView(0, r.firstTable, sessions[1], testLease, false)
	r.limiter.SetView(0, r.firstTable, sessions[2])
	for range 30 {
		r.limiter.Admit(r.now, testAccount, "")
	}
	requests, _ := r.limiter.Tick(r.now)
	for _, request := range requests[sessions[0]] {
		firstOwner.ReceiveRequest(r.now, sessions[2], request)
	}
	lent := 0
	for _, g := range firstOwner.Tick(r.now)[sessions[2]] {
		r.limiter.ReceiveGrant(r.now, sessions[0], g)
		lent += g.Tokens
	}
	if lent != 20 {
		t.Fatalf("the first owner lent %d tokens, want 20", lent)
	}
	r.owner.SetView(r.now, r.secondTable, sessions[1], testLease, false)
	r.limiter.SetView(r.now, r.secondTable, sessions[2])
	return r
}

// mustWait fails the test if the new owner may already lend.
func (r *ownerFailover) mustWait(t *testing.T, situation string) {
	t.Helper()
	if at := r.owner.lendableFrom(placement.ShardOf(testAccount)); at <= r.now {
		t.Fatalf("the new owner lends %s", situation)
	}
}

// A new owner that lent too early would exceed the limit, because fronts still hold tokens of the owner that
// ended. It must lend as soon as all fronts have completely confirmed its view, and not before, and must
// count the confirmed tokens as outstanding.
func TestNewOwnerLendsOnceAllFrontsConfirmed(t *testing.T) {
	r := newOwnerFailover(t)
	self, front := r.sessions[1], r.sessions[2]
	r.owner.ReceiveDrainConfirmation(r.now, self, DrainConfirmation{View: 2})
	r.mustWait(t, "before the front has confirmed anything")
	r.owner.ReceiveDrainConfirmation(r.now, front, DrainConfirmation{View: 1})
	r.mustWait(t, "after a confirmation of the previous view")
	_, confirmations := r.limiter.Tick(r.now)
	sent := confirmations[self]
	if len(sent) != 1 || sent[0].Total != 1 || sent[0].Buckets[0].Outstanding != 20 {
		t.Fatalf("the front confirms %+v, want one message with one bucket and 20 outstanding tokens", sent)
	}
	incomplete := sent[0]
	incomplete.Total = 2
	r.owner.ReceiveDrainConfirmation(r.now, front, incomplete)
	r.mustWait(t, "after an incomplete confirmation")
	r.owner.ReceiveDrainConfirmation(r.now, front, sent[0])
	if at := r.owner.lendableFrom(placement.ShardOf(testAccount)); at > r.now {
		t.Fatalf("the new owner waits for another %v although all fronts have confirmed", at-r.now)
	}
	// The whole burst is outstanding until it has certainly expired.
	for at := r.now; at < r.now+2*time.Second; at += 100 * time.Millisecond {
		r.owner.ReceiveRequest(at, self, TokenRequest{Key: testKey, Seq: uint64(at), Wanted: 9, SentAt: at})
		for _, g := range r.owner.Tick(at)[self] {
			if g.Tokens > 0 {
				t.Fatalf("%d tokens are lent after %v while the burst of 20 is outstanding", g.Tokens,
					at-r.now)
			}
		}
	}
}

// A front that was cut off and gets a new session must discard the tokens of its old one. They were never
// confirmed to the new owner, which may lend them to others.
func TestNewSessionDropsTokens(t *testing.T) {
	r := newOwnerFailover(t)
	limiter := NewLimiter(0)
	limiter.Configure(0, r.policy)
	limiter.SetView(0, r.firstTable, r.sessions[2])
	limiter.Admit(r.now, testAccount, "")
	limiter.Tick(r.now)
	limiter.ReceiveGrant(r.now, r.sessions[0], Grant{Key: testKey, RequestSeq: 1, Seq: 1, Tokens: 5,
		RequestSentAt: r.now})
	if availableTokens(limiter, r.now)[testKey] != 5 {
		t.Fatal("the front does not hold the 5 granted tokens")
	}
	limiter.SetView(r.now, r.secondTable, placement.Session{Member: 3, Epoch: 9})
	if _, ok := limiter.Admit(r.now, testAccount, ""); ok {
		t.Error("a front uses tokens that were lent to an earlier session")
	}
}

// An owner that loses an account and regains it between two ticks of a front keeps its session but no longer
// knows what it lent before. The front must confirm the tokens that it holds, and must ignore grants that the
// owner made in the earlier view.
func TestOwnerThatRegainsAccountLearnsOutstandingTokens(t *testing.T) {
	sessions := threeSessions()
	owner, self := sessions[0], sessions[2]
	limiter, now := NewLimiter(0), time.Minute
	limiter.Configure(0, testPolicy(t, "100/s burst=20", nil))
	limiter.SetView(0, tableOf(1, sessions...), self)
	limiter.Admit(now, testAccount, "")
	limiter.Tick(now)
	limiter.ReceiveGrant(now, owner, Grant{Key: testKey, RequestSeq: 1, Seq: 1, Tokens: 5, RequestSentAt: now,
		View: 1})
	limiter.SetView(now, tableOf(2, sessions[1:]...), self)
	limiter.SetView(now, tableOf(3, sessions...), self)
	_, confirmations := limiter.Tick(now)
	held := availableTokens(limiter, now)[testKey] // the tick has returned some of the 5
	c := confirmations[owner]
	if held == 0 || len(c) != 1 || len(c[0].Buckets) != 1 || c[0].Buckets[0].Outstanding != held {
		t.Errorf("the front confirms %+v, want one bucket with the %d tokens that it holds", c, held)
	}
	limiter.ReceiveGrant(now, owner, Grant{Key: testKey, RequestSeq: 2, Seq: 2, Tokens: 7, RequestSentAt: now,
		View: 1})
	if tokens := availableTokens(limiter, now)[testKey]; tokens != held {
		t.Errorf("the front holds %d tokens after a grant of an earlier view, want %d", tokens, held)
	}
}

// A confirmation of many buckets is split into several messages, which may arrive in any order and twice. It
// counts only once all of them have arrived.
func TestConfirmationCountsOnlyWhenComplete(t *testing.T) {
	r, session := newRevocation(), placement.Session{Member: 1, Epoch: 1}
	r.members = []placement.Member{{Session: session}}
	for n := range 3 {
		if r.confirmedView() != 0 {
			t.Fatalf("the confirmation counts after %d of 3 messages", n)
		}
		c := DrainConfirmation{View: 7, Total: 30}
		for k := range 10 {
			key := Key{Account: fmt.Sprint(10*((n+2)%3) + k)}
			c.Buckets = append(c.Buckets, BucketState{Key: key, Outstanding: 1})
		}
		r.receive(session, c)
		r.receive(session, c) // a duplicate
	}
	if r.confirmedView() != 7 || len(r.complete[session].remaining) != 30 {
		t.Errorf("got view %d with %d buckets, want view 7 with 30", r.confirmedView(),
			len(r.complete[session].remaining))
	}
}

// Requests that a network partition held back may arrive all at once, long after their tokens expired at the
// authority. Tokens that such requests return must not be added to the bucket.
func TestLateReturnsDoNotRefillTheBucket(t *testing.T) {
	p := testPolicy(t, "1/h burst=6", map[string]string{"tick": "50ms", "term": "500ms"})
	session := placement.Session{Member: 1, Epoch: 1}
	a, now := NewAuthority(), 48*time.Hour
	a.Configure(0, p)
	a.SetView(0, tableOf(1, session), session, time.Second, false)
	lent, seq := 0, uint64(0)
	receive := func(r TokenRequest) {
		seq++
		r.Key, r.Seq, r.SentAt = testKey, seq, now
		a.ReceiveRequest(now, session, r)
		for _, g := range a.Tick(now)[session] {
			lent += g.Tokens
		}
	}
	receive(TokenRequest{Wanted: 6})
	// The front's next requests are held back. It has used four tokens and returned the other two.
	now += 5 * time.Second
	receive(TokenRequest{Remaining: 2, AckedGrant: a.grantSeq})
	receive(TokenRequest{Returned: 2, AckedGrant: a.grantSeq})
	receive(TokenRequest{Wanted: 6, AckedGrant: a.grantSeq})
	if lent != 6 {
		t.Errorf("%d tokens are lent, want 6, the burst", lent)
	}
}

// Tokens that accrue while an earlier owner may still lend belong to that owner. If the next owner counted
// them, too, both could lend them.
func TestBucketsFillFromWhenTheyMayBeLentFrom(t *testing.T) {
	session := placement.Session{Member: 1, Epoch: 1}
	a, now := NewAuthority(), time.Duration(0)
	a.Configure(0, testPolicy(t, "10/s burst=100", nil))
	a.SetView(0, tableOf(1, session), session, time.Second, false)
	lendableFrom := func() time.Duration { return a.lendableFrom(placement.ShardOf(testAccount)) }
	for seq := uint64(1); now < lendableFrom()+time.Second; seq++ {
		a.ReceiveRequest(now, session, TokenRequest{Key: testKey, Seq: seq, Wanted: 100, SentAt: now})
		for _, g := range a.Tick(now)[session] {
			if g.Tokens > 10 {
				t.Fatalf("%d tokens are lent %v after lending may start, want at most 10", g.Tokens,
					now-lendableFrom())
			}
		}
		now += 100 * time.Millisecond
	}
}
