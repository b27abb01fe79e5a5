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
	p, wrong := ReadPolicy(words, nil)
	if len(wrong) > 0 {
		t.Fatal(wrong)
	}
	const lease = 500 * time.Millisecond
	var members []placement.Member
	for id := range uint64(3) {
		members = append(members, placement.Member{Seat: placement.Seat{Member: id + 1, Epoch: id + 1}})
	}
	first := placement.Of(placement.View{Number: 1, Members: members})
	next := placement.Of(placement.View{Number: 2, Members: members[1:],
		Over: []placement.Seat{members[0].Seat}})
	old, owner, front := NewAuthority(), NewAuthority(), NewFront(0)
	for _, a := range []*Authority{old, owner} {
		a.Configure(0, p)
	}
	front.Configure(0, p)
	old.View(0, first, members[0].Seat, lease, false)
	owner.View(0, first, members[1].Seat, lease, false)
	front.View(0, first, members[2].Seat)
	now := time.Minute
	for range 30 {
		front.Take(now, "m2232", "")
	}
	asks, _ := front.Tick(now)
	for _, a := range asks[members[0].Seat] {
		old.Hear(now, members[2].Seat, a)
	}
	lent := 0
	for _, g := range old.Tick(now)[members[2].Seat] {
		front.Granted(now, members[0].Seat, g)
		lent += g.Jobs
	}
	if lent != 20 {
		t.Fatalf("%d are lent", lent)
	}
	owner.View(now, next, members[1].Seat, lease, false)
	front.View(now, next, members[2].Seat)
	waits := func(why string) {
		t.Helper()
		if at := owner.free("m2232"); at <= now {
			t.Fatalf("it lends %s", why)
		}
	}
	owner.Leave(now, members[1].Seat, Left{View: 2})
	waits("before the front has said anything")
	owner.Leave(now, members[2].Seat, Left{View: 1})
	waits("by a word on the view before")
	_, lefts := front.Tick(now)
	said := lefts[members[1].Seat]
	if len(said) != 1 || said[0].Total != 1 || said[0].Books[0].Out != 20 {
		t.Fatalf("the front says %+v", said)
	}
	part := said[0]
	part.Total = 2
	owner.Leave(now, members[2].Seat, part)
	waits("by a part of a word")
	owner.Leave(now, members[2].Seat, said[0])
	if at := owner.free("m2232"); at > now {
		t.Fatalf("it waits for %v more though all have said so", at-now)
	}
	// One that was cut off comes back with a new session and what it had: it was not asked for that.
	gone := NewFront(0)
	gone.Configure(0, p)
	gone.View(0, first, members[2].Seat)
	gone.Take(now, "m2232", "")
	gone.Tick(now)
	gone.Granted(now, members[0].Seat, Grant{Key: Key{Account: "m2232"}, Report: 1, Seq: 1, Jobs: 5,
		Asked: now})
	if gone.Left(now)[Key{Account: "m2232"}] != 5 {
		t.Fatal("nothing is granted")
	}
	gone.View(now, next, placement.Seat{Member: 3, Epoch: 9})
	if _, ok := gone.Take(now, "m2232", ""); ok {
		t.Error("a front goes on with what it was lent in an earlier session")
	}
	// All that is allowed at once is out, until it has surely run out.
	for at := now; at < now+2*time.Second; at += 100 * time.Millisecond {
		owner.Hear(at, members[1].Seat, Ask{Key: Key{Account: "m2232"}, Report: uint64(at), Want: 9,
			Asked: at})
		for _, g := range owner.Tick(at)[members[1].Seat] {
			if g.Jobs > 0 {
				t.Fatalf("%d are lent after %v, beside the 20 that are out", g.Jobs, at-now)
			}
		}
	}
}

// An owner that loses an account and gets it back between two ticks of a front is the same session, and knows
// nothing of what it has lent before: the front says what it has, and takes nothing more of that.
func TestRecallByTheSameOwner(t *testing.T) {
	p, _ := ReadPolicy(map[string]string{"account": "X", "account.m2232": "100/s burst=20"}, nil)
	var members []placement.Member
	for id := range uint64(3) {
		members = append(members, placement.Member{Seat: placement.Seat{Member: id + 1, Epoch: id + 1}})
	}
	view := func(number uint64, members []placement.Member) *placement.Table {
		return placement.Of(placement.View{Number: number, Members: members})
	}
	front, now, key := NewFront(0), time.Minute, Key{Account: "m2232"}
	front.Configure(0, p)
	front.View(0, view(1, members), members[2].Seat)
	front.Take(now, key.Account, "")
	front.Tick(now)
	front.Granted(now, members[0].Seat, Grant{Key: key, Report: 1, Seq: 1, Jobs: 5, Asked: now, View: 1})
	for n, list := range [][]placement.Member{members[1:], members} {
		front.View(now, view(uint64(n+2), list), members[2].Seat)
	}
	_, lefts := front.Tick(now)
	has := front.Left(now)[key] // some is given back
	l := lefts[members[0].Seat]
	if has == 0 || len(l) != 1 || len(l[0].Books) != 1 || l[0].Books[0].Out != has {
		t.Errorf("it says that it has %+v of %d", l, has)
	}
	front.Granted(now, members[0].Seat, Grant{Key: key, Report: 2, Seq: 2, Jobs: 7, Asked: now, View: 1})
	if n := front.Left(now)[key]; n != has {
		t.Errorf("it takes what was lent by an earlier view: it has %d after %d", n, has)
	}
}

// A word on many accounts comes in parts, and counts when it is whole, in whatever order they come.
func TestRecallInParts(t *testing.T) {
	r, seat := newRecall(), placement.Seat{Member: 1, Epoch: 1}
	r.members = []placement.Member{{Seat: seat}}
	for part := range 3 {
		if r.least() != 0 {
			t.Fatalf("%d parts are taken for the whole", part)
		}
		l := Left{View: 7, Total: 30}
		for n := range 10 {
			l.Books = append(l.Books, Ceded{Key: Key{Account: fmt.Sprint(10*((part+2)%3) + n)}, Out: 1})
		}
		r.hear(seat, l)
		r.hear(seat, l) // twice
	}
	if r.least() != 7 || len(r.whole[seat].kept) != 30 {
		t.Errorf("%d, %d accounts", r.least(), len(r.whole[seat].kept))
	}
}

// Words that were held back by a cut come all at once, when what they are about has run out long ago: what
// the front gives back in them is not there any more.
func TestWordsOfLongAgo(t *testing.T) {
	p, _ := ReadPolicy(map[string]string{"account": "X", "account.m2232": "1/h burst=6", "tick": "50ms",
		"term": "500ms"}, nil)
	seat, key := placement.Seat{Member: 1, Epoch: 1}, Key{Account: "m2232"}
	a, now := NewAuthority(), 48*time.Hour
	a.Configure(0, p)
	alone := placement.View{Number: 1, Members: []placement.Member{{Seat: seat}}}
	a.View(0, placement.Of(alone), seat, time.Second, false)
	lent, report := 0, uint64(0)
	hears := func(kept, back, want int, acked uint64) {
		report++
		a.Hear(now, seat, Ask{Key: key, Report: report, Acked: acked, Kept: kept, Back: back, Want: want,
			Asked: now})
		for _, g := range a.Tick(now)[seat] {
			lent += g.Jobs
		}
	}
	hears(0, 0, 6, 0)
	// Its next words do not come, and it has used them all up to the last two, which it gave back.
	now += 5 * time.Second
	hears(2, 0, 0, a.seq)
	hears(0, 2, 0, a.seq)
	hears(0, 0, 6, a.seq)
	if lent != 6 {
		t.Errorf("%d are lent of 6 at once", lent)
	}
}

// What comes in while an earlier owner may still lend is its to lend: the next one has none of it.
func TestBucketsFillFromWhenTheyMayBeLent(t *testing.T) {
	p, _ := ReadPolicy(map[string]string{"account": "X", "account.m2232": "10/s burst=100"}, nil)
	seat := placement.Seat{Member: 1, Epoch: 1}
	a, now := NewAuthority(), time.Duration(0)
	a.Configure(0, p)
	alone := placement.View{Number: 1, Members: []placement.Member{{Seat: seat}}}
	a.View(0, placement.Of(alone), seat, time.Second, false)
	for report := uint64(1); now < a.free("m2232")+time.Second; report++ {
		a.Hear(now, seat, Ask{Key: Key{Account: "m2232"}, Report: report, Want: 100, Asked: now})
		for _, g := range a.Tick(now)[seat] {
			if g.Jobs > 10 {
				t.Fatalf("%d are lent %v after it may", g.Jobs, now-a.free("m2232"))
			}
		}
		now += 100 * time.Millisecond
	}
}
