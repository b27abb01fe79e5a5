package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"moorstack/internal/cluster/placement"
)

// What fronts have left of an owner that has ended counts as out with the next one, which begins as soon as
// all of them have said so, whole, by its view, and not before.
func TestRecall(t *testing.T) {
	words := map[string]string{"account": "X", "tick": "50ms", "term": "2s",
		"account.m2232": "100/s burst=20"}
	p, wrong := ParsePolicy(words, nil)
	if len(wrong) > 0 {
		t.Fatal(wrong)
	}
	const lease = 500 * time.Millisecond
	var members []placement.Member
	for id := range uint64(3) {
		members = append(members, placement.Member{Session: placement.Session{Member: id + 1, Epoch: id + 1}})
	}
	first := placement.NewTable(placement.View{Number: 1, Members: members})
	next := placement.NewTable(placement.View{Number: 2, Members: members[1:],
		Expired: []placement.Session{members[0].Session}})
	old, owner, front := NewAuthority(), NewAuthority(), NewLimiter(0)
	for _, a := range []*Authority{old, owner} {
		a.Configure(0, p)
	}
	front.Configure(0, p)
	old.SetView(0, first, members[0].Session, lease, false)
	owner.SetView(0, first, members[1].Session, lease, false)
	front.SetView(0, first, members[2].Session)
	now := time.Minute
	for range 30 {
		front.Admit(now, "m2232", "")
	}
	asks, _ := front.Tick(now)
	for _, a := range asks[members[0].Session] {
		old.ReceiveRequest(now, members[2].Session, a)
	}
	lent := 0
	for _, g := range old.Tick(now)[members[2].Session] {
		front.ReceiveGrant(now, members[0].Session, g)
		lent += g.Tokens
	}
	if lent != 20 {
		t.Fatalf("%d are lent", lent)
	}
	owner.SetView(now, next, members[1].Session, lease, false)
	front.SetView(now, next, members[2].Session)
	waits := func(why string) {
		t.Helper()
		if at := owner.lendableFrom("m2232"); at <= now {
			t.Fatalf("it lends %s", why)
		}
	}
	owner.ReceiveDrainConfirmation(now, members[1].Session, DrainConfirmation{View: 2})
	waits("before the front has said anything")
	owner.ReceiveDrainConfirmation(now, members[2].Session, DrainConfirmation{View: 1})
	waits("by a word on the view before")
	_, lefts := front.Tick(now)
	said := lefts[members[1].Session]
	if len(said) != 1 || said[0].Total != 1 || said[0].Buckets[0].Outstanding != 20 {
		t.Fatalf("the front says %+v", said)
	}
	part := said[0]
	part.Total = 2
	owner.ReceiveDrainConfirmation(now, members[2].Session, part)
	waits("by a part of a word")
	owner.ReceiveDrainConfirmation(now, members[2].Session, said[0])
	if at := owner.lendableFrom("m2232"); at > now {
		t.Fatalf("it waits for %v more though all have said so", at-now)
	}
	// One that was cut off comes back with a new session and what it had: it was not asked for that.
	gone := NewLimiter(0)
	gone.Configure(0, p)
	gone.SetView(0, first, members[2].Session)
	gone.Admit(now, "m2232", "")
	gone.Tick(now)
	gone.ReceiveGrant(
		now,
		members[0].Session,
		Grant{Key: Key{Account: "m2232"}, RequestSeq: 1, Seq: 1, Tokens: 5,
			RequestSentAt: now},
	)
	if gone.Available(now)[Key{Account: "m2232"}] != 5 {
		t.Fatal("nothing is granted")
	}
	gone.SetView(now, next, placement.Session{Member: 3, Epoch: 9})
	if _, ok := gone.Admit(now, "m2232", ""); ok {
		t.Error("a front goes on with what it was lent in an earlier session")
	}
	// All that is allowed at once is out, until it has surely run out.
	for at := now; at < now+2*time.Second; at += 100 * time.Millisecond {
		owner.ReceiveRequest(
			at,
			members[1].Session,
			TokenRequest{Key: Key{Account: "m2232"}, Seq: uint64(at), Wanted: 9,
				SentAt: at},
		)
		for _, g := range owner.Tick(at)[members[1].Session] {
			if g.Tokens > 0 {
				t.Fatalf("%d are lent after %v, beside the 20 that are out", g.Tokens, at-now)
			}
		}
	}
}

// An owner that loses an account and gets it back between two ticks of a front is the same session, and knows
// nothing of what it has lent before: the front says what it has, and takes nothing more of that.
func TestRecallByTheSameOwner(t *testing.T) {
	p, _ := ParsePolicy(map[string]string{"account": "X", "account.m2232": "100/s burst=20"}, nil)
	var members []placement.Member
	for id := range uint64(3) {
		members = append(members, placement.Member{Session: placement.Session{Member: id + 1, Epoch: id + 1}})
	}
	view := func(number uint64, members []placement.Member) *placement.Table {
		return placement.NewTable(placement.View{Number: number, Members: members})
	}
	front, now, key := NewLimiter(0), time.Minute, Key{Account: "m2232"}
	front.Configure(0, p)
	front.SetView(0, view(1, members), members[2].Session)
	front.Admit(now, key.Account, "")
	front.Tick(now)
	front.ReceiveGrant(
		now,
		members[0].Session,
		Grant{Key: key, RequestSeq: 1, Seq: 1, Tokens: 5, RequestSentAt: now, View: 1},
	)
	for n, list := range [][]placement.Member{members[1:], members} {
		front.SetView(now, view(uint64(n+2), list), members[2].Session)
	}
	_, lefts := front.Tick(now)
	has := front.Available(now)[key] // some is given back
	l := lefts[members[0].Session]
	if has == 0 || len(l) != 1 || len(l[0].Buckets) != 1 || l[0].Buckets[0].Outstanding != has {
		t.Errorf("it says that it has %+v of %d", l, has)
	}
	front.ReceiveGrant(
		now,
		members[0].Session,
		Grant{Key: key, RequestSeq: 2, Seq: 2, Tokens: 7, RequestSentAt: now, View: 1},
	)
	if n := front.Available(now)[key]; n != has {
		t.Errorf("it takes what was lent by an earlier view: it has %d after %d", n, has)
	}
}

// A word on many accounts comes in parts, and counts when it is whole, in whatever order they come.
func TestRecallInParts(t *testing.T) {
	r, seat := newRevocation(), placement.Session{Member: 1, Epoch: 1}
	r.members = []placement.Member{{Session: seat}}
	for part := range 3 {
		if r.oldestConfirmedView() != 0 {
			t.Fatalf("%d parts are taken for the whole", part)
		}
		l := DrainConfirmation{View: 7, Total: 30}
		for n := range 10 {
			l.Buckets = append(
				l.Buckets,
				BucketState{Key: Key{Account: fmt.Sprint(10*((part+2)%3) + n)}, Outstanding: 1},
			)
		}
		r.receive(seat, l)
		r.receive(seat, l) // twice
	}
	if r.oldestConfirmedView() != 7 || len(r.complete[seat].remaining) != 30 {
		t.Errorf("%d, %d accounts", r.oldestConfirmedView(), len(r.complete[seat].remaining))
	}
}

// Words that were held back by a cut come all at once, when what they are about has run out long ago: what
// the front gives back in them is not there any more.
func TestWordsOfLongAgo(t *testing.T) {
	p, _ := ParsePolicy(map[string]string{"account": "X", "account.m2232": "1/h burst=6", "tick": "50ms",
		"term": "500ms"}, nil)
	seat, key := placement.Session{Member: 1, Epoch: 1}, Key{Account: "m2232"}
	a, now := NewAuthority(), 48*time.Hour
	a.Configure(0, p)
	alone := placement.View{Number: 1, Members: []placement.Member{{Session: seat}}}
	a.SetView(0, placement.NewTable(alone), seat, time.Second, false)
	lent, report := 0, uint64(0)
	hears := func(kept, back, want int, acked uint64) {
		report++
		a.ReceiveRequest(
			now,
			seat,
			TokenRequest{
				Key:        key,
				Seq:        report,
				AckedGrant: acked,
				Remaining:  kept,
				Returned:   back,
				Wanted:     want,
				SentAt:     now,
			},
		)
		for _, g := range a.Tick(now)[seat] {
			lent += g.Tokens
		}
	}
	hears(0, 0, 6, 0)
	// Its next words do not come, and it has used them all up to the last two, which it gave back.
	now += 5 * time.Second
	hears(2, 0, 0, a.grantSeq)
	hears(0, 2, 0, a.grantSeq)
	hears(0, 0, 6, a.grantSeq)
	if lent != 6 {
		t.Errorf("%d are lent of 6 at once", lent)
	}
}

// What comes in while an earlier owner may still lend is its to lend: the next one has none of it.
func TestBucketsFillFromWhenTheyMayBeLent(t *testing.T) {
	p, _ := ParsePolicy(map[string]string{"account": "X", "account.m2232": "10/s burst=100"}, nil)
	seat := placement.Session{Member: 1, Epoch: 1}
	a, now := NewAuthority(), time.Duration(0)
	a.Configure(0, p)
	alone := placement.View{Number: 1, Members: []placement.Member{{Session: seat}}}
	a.SetView(0, placement.NewTable(alone), seat, time.Second, false)
	for report := uint64(1); now < a.lendableFrom("m2232")+time.Second; report++ {
		a.ReceiveRequest(
			now,
			seat,
			TokenRequest{Key: Key{Account: "m2232"}, Seq: report, Wanted: 100, SentAt: now},
		)
		for _, g := range a.Tick(now)[seat] {
			if g.Tokens > 10 {
				t.Fatalf("%d are lent %v after it may", g.Tokens, now-a.lendableFrom("m2232"))
			}
		}
		now += 100 * time.Millisecond
	}
}
