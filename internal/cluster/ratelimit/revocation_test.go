package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"moorstack/internal/cluster/placement"
)

// testAccount is owned by the first of three members, and by the second without that.
const testAccount = "m2232"

var testKey = Key{Account: testAccount}

// testPolicy limits testAccount.
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

// threeSessions are those of members 1 to 3.
func threeSessions() (sessions []placement.Session) {
	for id := range uint64(3) {
		sessions = append(sessions, placement.Session{Member: id + 1, Epoch: id + 1})
	}
	return sessions
}

// revoked is a group of three whose first owner has lent all tokens to the third member's front, and has
// ended: the second owns the account by the second view.
type revoked struct {
	sessions      []placement.Session
	first, second *placement.Table
	policy        Policy
	owner         *Authority // of the second member
	limiter       *Limiter   // of the third
	now           time.Duration
}

const testLease = 500 * time.Millisecond

func newRevoked(t *testing.T) *revoked {
	t.Helper()
	sessions := threeSessions()
	r := &revoked{sessions: sessions, first: tableOf(1, sessions...), now: time.Minute,
		policy: testPolicy(t, "100/s burst=20", map[string]string{"tick": "50ms", "term": "2s"}),
		owner:  NewAuthority(), limiter: NewLimiter(0)}
	r.second = placement.NewTable(placement.View{Number: 2, Expired: sessions[:1],
		Members: []placement.Member{{Session: sessions[1]}, {Session: sessions[2]}}})
	earlier := NewAuthority()
	for _, a := range []*Authority{earlier, r.owner} {
		a.Configure(0, r.policy)
	}
	r.limiter.Configure(0, r.policy)
	earlier.SetView(0, r.first, sessions[0], testLease, false)
	r.owner.SetView(0, r.first, sessions[1], testLease, false)
	r.limiter.SetView(0, r.first, sessions[2])
	for range 30 {
		r.limiter.Admit(r.now, testAccount, "")
	}
	requests, _ := r.limiter.Tick(r.now)
	for _, request := range requests[sessions[0]] {
		earlier.ReceiveRequest(r.now, sessions[2], request)
	}
	lent := 0
	for _, g := range earlier.Tick(r.now)[sessions[2]] {
		r.limiter.ReceiveGrant(r.now, sessions[0], g)
		lent += g.Tokens
	}
	if lent != 20 {
		t.Fatalf("%d are lent", lent)
	}
	r.owner.SetView(r.now, r.second, sessions[1], testLease, false)
	r.limiter.SetView(r.now, r.second, sessions[2])
	return r
}

// mustWait fails the test if the new owner may lend.
func (r *revoked) mustWait(t *testing.T, why string) {
	t.Helper()
	if at := r.owner.lendableFrom(placement.ShardOf(testAccount)); at <= r.now {
		t.Fatalf("it lends %s", why)
	}
}

// The tokens that fronts have of an owner that has ended count as outstanding at the next one. That lends as
// soon as all fronts have confirmed its view, completely, and not before.
func TestNewOwnerLendsOnceAllFrontsConfirmed(t *testing.T) {
	r := newRevoked(t)
	own, front := r.sessions[1], r.sessions[2]
	r.owner.ReceiveDrainConfirmation(r.now, own, DrainConfirmation{View: 2})
	r.mustWait(t, "before the front has confirmed anything")
	r.owner.ReceiveDrainConfirmation(r.now, front, DrainConfirmation{View: 1})
	r.mustWait(t, "by a confirmation of the view before")
	_, confirmations := r.limiter.Tick(r.now)
	sent := confirmations[own]
	if len(sent) != 1 || sent[0].Total != 1 || sent[0].Buckets[0].Outstanding != 20 {
		t.Fatalf("the front sends %+v", sent)
	}
	incomplete := sent[0]
	incomplete.Total = 2
	r.owner.ReceiveDrainConfirmation(r.now, front, incomplete)
	r.mustWait(t, "by an incomplete confirmation")
	r.owner.ReceiveDrainConfirmation(r.now, front, sent[0])
	if at := r.owner.lendableFrom(placement.ShardOf(testAccount)); at > r.now {
		t.Fatalf("it waits for %v more though all have confirmed", at-r.now)
	}
	// The whole burst is outstanding, until it has surely expired.
	for at := r.now; at < r.now+2*time.Second; at += 100 * time.Millisecond {
		r.owner.ReceiveRequest(at, own, TokenRequest{Key: testKey, Seq: uint64(at), Wanted: 9, SentAt: at})
		for _, g := range r.owner.Tick(at)[own] {
			if g.Tokens > 0 {
				t.Fatalf("%d are lent after %v, beside the 20 that are outstanding", g.Tokens, at-r.now)
			}
		}
	}
}

// A front that was cut off and has a new session lost its tokens with the one before: they were
// not confirmed to anybody.
func TestNewSessionDropsTokens(t *testing.T) {
	r := newRevoked(t)
	limiter := NewLimiter(0)
	limiter.Configure(0, r.policy)
	limiter.SetView(0, r.first, r.sessions[2])
	limiter.Admit(r.now, testAccount, "")
	limiter.Tick(r.now)
	limiter.ReceiveGrant(r.now, r.sessions[0], Grant{Key: testKey, RequestSeq: 1, Seq: 1, Tokens: 5,
		RequestSentAt: r.now})
	if availableTokens(limiter, r.now)[testKey] != 5 {
		t.Fatal("nothing is granted")
	}
	limiter.SetView(r.now, r.second, placement.Session{Member: 3, Epoch: 9})
	if _, ok := limiter.Admit(r.now, testAccount, ""); ok {
		t.Error("a front uses tokens that it was lent in an earlier session")
	}
}

// An owner that loses an account and regains it between two ticks of a front has the same session, and does
// not know what it has lent before: the front confirms what it has, and takes nothing more of that.
func TestOwnerThatRegainsAccountLearnsOutstandingTokens(t *testing.T) {
	sessions := threeSessions()
	owner, own := sessions[0], sessions[2]
	limiter, now := NewLimiter(0), time.Minute
	limiter.Configure(0, testPolicy(t, "100/s burst=20", nil))
	limiter.SetView(0, tableOf(1, sessions...), own)
	limiter.Admit(now, testAccount, "")
	limiter.Tick(now)
	limiter.ReceiveGrant(now, owner, Grant{Key: testKey, RequestSeq: 1, Seq: 1, Tokens: 5, RequestSentAt: now,
		View: 1})
	limiter.SetView(now, tableOf(2, sessions[1:]...), own)
	limiter.SetView(now, tableOf(3, sessions...), own)
	_, confirmations := limiter.Tick(now)
	has := availableTokens(limiter, now)[testKey] // some is returned
	c := confirmations[owner]
	if has == 0 || len(c) != 1 || len(c[0].Buckets) != 1 || c[0].Buckets[0].Outstanding != has {
		t.Errorf("it confirms that it has %+v of %d", c, has)
	}
	limiter.ReceiveGrant(now, owner, Grant{Key: testKey, RequestSeq: 2, Seq: 2, Tokens: 7, RequestSentAt: now,
		View: 1})
	if tokens := availableTokens(limiter, now)[testKey]; tokens != has {
		t.Errorf("it takes what was lent by an earlier view: it has %d after %d", tokens, has)
	}
}

// A confirmation of many buckets comes in several messages, and counts when all have arrived, in whatever
// order they do.
func TestConfirmationCountsOnlyWhenComplete(t *testing.T) {
	r, session := newRevocation(), placement.Session{Member: 1, Epoch: 1}
	r.members = []placement.Member{{Session: session}}
	for n := range 3 {
		if r.confirmedView() != 0 {
			t.Fatalf("%d messages are taken for all", n)
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
		t.Errorf("%d, %d accounts", r.confirmedView(), len(r.complete[session].remaining))
	}
}

// Requests that were held back by a cut arrive all at once, when their tokens have expired long ago: the
// tokens that they return are not there any more.
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
	// Its next requests are held back. It has used all tokens but the last two, which it returned.
	now += 5 * time.Second
	receive(TokenRequest{Remaining: 2, AckedGrant: a.grantSeq})
	receive(TokenRequest{Returned: 2, AckedGrant: a.grantSeq})
	receive(TokenRequest{Wanted: 6, AckedGrant: a.grantSeq})
	if lent != 6 {
		t.Errorf("%d are lent of 6 at once", lent)
	}
}

// What comes in while an earlier owner may still lend is that owner's to lend: the next one has none of it.
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
				t.Fatalf("%d are lent %v after it may", g.Tokens, now-lendableFrom())
			}
		}
		now += 100 * time.Millisecond
	}
}
