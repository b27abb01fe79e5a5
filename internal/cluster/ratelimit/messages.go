package ratelimit

import (
	"time"

	"moorstack/internal/cluster/placement"
)

// TokenRequest is sent by a front to the authority of a bucket. It requests tokens, and reports and returns
// those that the front holds.
type TokenRequest struct {
	Key
	Seq        uint64        // increases with every request of this front
	AckedGrant uint64        // Seq of the newest grant that the front has received
	Remaining  int           // unused tokens of all grants that the front has received
	Returned   int           // tokens that are returned with this request
	Wanted     int           // tokens needed in addition to Remaining
	SentAt     time.Duration // on the front's clock; the grant repeats it
}

// Grant is an authority's response to a TokenRequest. It renews all tokens that the front holds of the
// bucket: they and the new ones last for Policy.GrantDuration from RequestSentAt.
type Grant struct {
	Key
	RequestSeq    uint64
	Seq           uint64 // increases with every grant of this authority
	Tokens        int    // newly lent
	RequestSentAt time.Duration
	View          uint64 // the authority's; 0: sent by an older version of the program that does not set it
}

// BucketState describes a bucket in a Transfer, or a front's tokens of a bucket in a DrainConfirmation.
type BucketState struct {
	Key
	Level       int // tokens in the bucket, at least 0; always 0 in a DrainConfirmation
	Outstanding int // the most tokens that fronts may hold
}

// Transfer is sent by the previous owner of some shards to the next one. It states that the sender no longer
// lends from these shards, and contains their state. Without it the next owner waits until all tokens that
// may be outstanding have certainly expired.
type Transfer struct {
	View           uint64                   // number of the view in which the shards moved to the next owner
	Shards         map[int]TransferredShard // by shard
	Buckets        []BucketState            // all buckets of the shards that have a ledger
	From           placement.Session        // the previous owner
	to             placement.Session        // the next owner
	remainingSends int
}

// TransferredShard is the state of those buckets of a shard that the Transfer does not list.
type TransferredShard struct {
	FilledFor time.Duration // how long they have been filling from empty
}

// DrainConfirmation is sent by a front to each owner in a view. It states that from this view on the front
// accepts no grants of earlier owners, and lists the tokens of theirs that it still holds. With the
// confirmations of all fronts in the view, an owner knows all outstanding tokens and need not wait until they
// have certainly expired.
type DrainConfirmation struct {
	View    uint64
	Total   int           // number of buckets in all messages of this confirmation
	Buckets []BucketState // those in this message
}

// Limits on transfers and drain confirmations.
const (
	transferSends = 3 // repeated, as one may be lost or arrive before the receiver has its view
	// maxTransferBuckets is the maximum number of buckets in a transfer. Shards that exceed it are left out,
	// and the next owner waits until their tokens have certainly expired.
	maxTransferBuckets = 2000

	confirmationSends      = 5    // repeated, as one may be lost or arrive before the receiver has its view
	maxConfirmationBuckets = 2000 // per message of a confirmation
)
