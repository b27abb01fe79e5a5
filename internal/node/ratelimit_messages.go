package node

import (
	"slices"
	"time"

	"moorstack/internal/cluster/consensus"
	"moorstack/internal/cluster/placement"
	"moorstack/internal/cluster/ratelimit"
	"moorstack/internal/schema"
)

const (
	// maxMessageBuckets is the maximum number of buckets in a message. A message that exceeds the transport's
	// size limit would be lost as a whole.
	maxMessageBuckets = 5000
	// maxTokens bounds token counts in a message. No front has that many tokens.
	maxTokens = 1 << 40
	// maxConfirmedBuckets bounds the number of buckets in a drain confirmation.
	maxConfirmedBuckets = 1 << 30
)

func (r *rateLimitDriver) newMessage(to placement.Session) *schema.RateMessage {
	return &schema.RateMessage{Version: r.limiter.Policy().Version, FromEpoch: r.session.Epoch,
		ToEpoch: to.Epoch}
}

func (r *rateLimitDriver) send(to placement.Session, m *schema.RateMessage) {
	r.env.sendSession(to.Member, &schema.SessionMessage{Rate: m})
}

func (r *rateLimitDriver) sendRequests(now time.Duration,
	requests map[placement.Session][]ratelimit.TokenRequest) {
	for to, list := range requests {
		if to == r.session {
			for _, request := range list {
				r.authority.ReceiveRequest(now, to, request)
			}
			continue
		}
		for chunk := range slices.Chunk(list, maxMessageBuckets) {
			m := r.newMessage(to)
			for _, request := range chunk {
				m.Asks = append(m.Asks, encodeTokenRequest(request))
			}
			r.send(to, m)
		}
	}
}

func (r *rateLimitDriver) sendTransfers() {
	for to, transfer := range r.authority.PendingTransfers() {
		m := r.newMessage(to)
		m.FromEpoch = transfer.From.Epoch // the session may have expired since
		m.Cession = encodeTransfer(transfer)
		r.send(to, m)
	}
}

func (r *rateLimitDriver) sendConfirmations(now time.Duration,
	confirmations map[placement.Session][]ratelimit.DrainConfirmation) {
	for to, list := range confirmations {
		for _, confirmation := range list {
			if to == r.session {
				r.authority.ReceiveDrainConfirmation(now, to, confirmation)
				continue
			}
			m := r.newMessage(to)
			m.Left = encodeConfirmation(confirmation)
			r.send(to, m)
		}
	}
}

func (r *rateLimitDriver) sendGrants(now time.Duration) {
	for to, grants := range r.authority.Tick(now) {
		if to == r.session {
			for _, g := range grants {
				r.limiter.ReceiveGrant(now, to, g)
			}
			continue
		}
		for chunk := range slices.Chunk(grants, maxMessageBuckets) {
			m := r.newMessage(to)
			for _, g := range chunk {
				m.View = g.View
				m.Grants = append(m.Grants, encodeGrant(g))
			}
			r.send(to, m)
		}
	}
}

// receive handles another instance's message. It is called on a goroutine of the transport.
func (r *rateLimitDriver) receive(from uint64, m *schema.RateMessage) {
	r.env.loop().Post(func() {
		// Drop messages about another configuration's buckets, and those to a session that has expired.
		if m.Version != r.limiter.Policy().Version || m.Version == 0 || m.ToEpoch != r.session.Epoch {
			return
		}
		r.dispatch(consensus.BootTime(), placement.Session{Member: from, Epoch: m.FromEpoch}, m)
	})
}

func (r *rateLimitDriver) dispatch(now time.Duration, from placement.Session, m *schema.RateMessage) {
	if m.Cession != nil {
		r.authority.ReceiveTransfer(now, decodeTransfer(from, m.Cession))
	}
	if m.Left != nil {
		r.authority.ReceiveDrainConfirmation(now, from, decodeConfirmation(m.Left))
	}
	for _, a := range m.Asks {
		if request, ok := decodeTokenRequest(a); ok {
			r.authority.ReceiveRequest(now, from, request)
		}
	}
	for _, g := range m.Grants {
		if grant, ok := decodeGrant(now, m.View, g); ok {
			r.limiter.ReceiveGrant(now, from, grant)
		}
	}
}

func encodeTokenRequest(a ratelimit.TokenRequest) *schema.RateAsk {
	return &schema.RateAsk{Account: a.Account, Class: a.Class, Report: a.Seq, Acked: a.AckedGrant,
		Kept: uint64(a.Remaining), Back: uint64(a.Returned), Want: uint64(a.Wanted), AskedNs: int64(a.SentAt)}
}

// decodeTokenRequest returns false for a request with more tokens than any front has.
func decodeTokenRequest(a *schema.RateAsk) (ratelimit.TokenRequest, bool) {
	if a.Kept > maxTokens || a.Back > maxTokens || a.Want > maxTokens {
		return ratelimit.TokenRequest{}, false
	}
	return ratelimit.TokenRequest{Key: ratelimit.Key{Account: a.Account, Class: a.Class}, Seq: a.Report,
		AckedGrant: a.Acked, Remaining: int(a.Kept), Returned: int(a.Back), Wanted: int(a.Want),
		SentAt: time.Duration(a.AskedNs)}, true
}

func encodeGrant(g ratelimit.Grant) *schema.RateGrant {
	return &schema.RateGrant{Account: g.Account, Class: g.Class, Report: g.RequestSeq, Seq: g.Seq,
		Jobs: uint64(g.Tokens), AskedNs: int64(g.RequestSentAt)}
}

// decodeGrant returns false for a grant of more tokens than any owner has, and for one whose request was sent
// after now.
func decodeGrant(now time.Duration, view uint64, g *schema.RateGrant) (ratelimit.Grant, bool) {
	if g.AskedNs > int64(now) || g.Jobs > maxTokens {
		return ratelimit.Grant{}, false
	}
	return ratelimit.Grant{Key: ratelimit.Key{Account: g.Account, Class: g.Class}, RequestSeq: g.Report,
		Seq:    g.Seq,
		Tokens: int(g.Jobs), RequestSentAt: time.Duration(g.AskedNs), View: view}, true
}

func encodeTransfer(t *ratelimit.Transfer) *schema.RateCession {
	out := &schema.RateCession{View: t.View, Shards: map[uint32]int64{}}
	for shard, x := range t.Shards {
		out.Shards[uint32(shard)] = int64(x.FilledFor)
	}
	for _, b := range t.Buckets {
		out.Books = append(out.Books, &schema.RateBook{Account: b.Account, Class: b.Class,
			Level: uint64(b.Level), Out: uint64(b.Outstanding)})
	}
	return out
}

func decodeTransfer(from placement.Session, m *schema.RateCession) *ratelimit.Transfer {
	t := &ratelimit.Transfer{From: from, View: m.View, Shards: map[int]ratelimit.TransferredShard{}}
	for shard, filledFor := range m.Shards {
		t.Shards[int(shard)] = ratelimit.TransferredShard{FilledFor: time.Duration(filledFor)}
	}
	for _, b := range m.Books {
		t.Buckets = append(t.Buckets, decodeBucket(b))
	}
	return t
}

func encodeConfirmation(c ratelimit.DrainConfirmation) *schema.RateLeft {
	out := &schema.RateLeft{View: c.View, Total: uint64(c.Total)}
	for _, b := range c.Buckets {
		out.Books = append(out.Books, &schema.RateBook{Account: b.Account, Class: b.Class,
			Out: uint64(b.Outstanding)})
	}
	return out
}

func decodeConfirmation(m *schema.RateLeft) ratelimit.DrainConfirmation {
	c := ratelimit.DrainConfirmation{View: m.View, Total: int(min(m.Total, maxConfirmedBuckets))}
	for _, b := range m.Books {
		bucket := decodeBucket(b)
		bucket.Level = 0 // a confirmation has no level
		c.Buckets = append(c.Buckets, bucket)
	}
	return c
}

func decodeBucket(b *schema.RateBook) ratelimit.BucketState {
	return ratelimit.BucketState{Key: ratelimit.Key{Account: b.Account, Class: b.Class},
		Level: int(min(b.Level, maxTokens)), Outstanding: int(min(b.Out, maxTokens))}
}
