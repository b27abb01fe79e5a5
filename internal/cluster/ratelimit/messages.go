package ratelimit

import (
	"time"

	"moorstack/internal/cluster/placement"
)

// TokenRequest is what a front sends to the authority of a bucket.
type TokenRequest struct {
	Key
	Seq        uint64        // increases with every request of this front
	AckedGrant uint64        // Seq of the newest grant that the front has received
	Remaining  int           // unused tokens of all grants that the front has received
	Returned   int           // tokens that are given back with this request
	Wanted     int           // tokens beyond Remaining
	SentAt     time.Duration // on the front's clock; comes back with the grant
}

// Grant is an authority's answer to a TokenRequest. It renews all tokens that the front has of the bucket:
// they and the new ones last for Policy.GrantDuration from RequestSentAt.
type Grant struct {
	Key
	RequestSeq    uint64
	Seq           uint64 // increases with every grant of this authority
	Tokens        int    // new ones
	RequestSentAt time.Duration
	View          uint64 // the authority's; 0: from an older program, which does not send it
}

// BucketState is a bucket that an owner hands over, or what a front has of it.
type BucketState struct {
	Key
	Level       int // tokens in the bucket, not below 0; a front has none
	Outstanding int // the most tokens that fronts may have
}

// Transfer is what the previous owner of some shards sends to the next one: it lends from these shards no
// more, and this is their state. Without it the next owner waits until all that may be outstanding has surely
// expired.
type Transfer struct {
	View           uint64                   // by which the shards went to another owner
	Shards         map[int]TransferredShard // by shard
	Buckets        []BucketState            // all buckets of the shards that the previous owner knows
	From           placement.Session        // the previous owner
	to             placement.Session        // the next owner
	remainingSends int
}

// TransferredShard is the state of the buckets that a Transfer does not name.
type TransferredShard struct {
	FilledFor time.Duration // for how long they have been filling from empty
}

// DrainConfirmation is what a front sends to each owner of a view: from this view on it takes no grant of
// earlier owners, and this is what it still has of theirs. With the confirmations of all fronts of the view
// an owner knows all that is outstanding, and need not wait until that has surely expired.
type DrainConfirmation struct {
	View    uint64
	Total   int           // buckets, over all messages of this confirmation
	Buckets []BucketState // those of this message
}

// Limits of what is sent.
const (
	transferSends = 3 // a transfer may be lost, or arrive before its view does
	// maxTransferBuckets bounds a transfer. Shards beyond it are not transferred, and waited for.
	maxTransferBuckets = 2000

	confirmationSends      = 5    // a confirmation may be lost, or arrive before its view does
	maxConfirmationBuckets = 2000 // in one message of a confirmation
)
