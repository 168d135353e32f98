package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"galenastair"
)

// Key stands for one organisation's idempotency key.
type Key string

// KeyOf returns the key under which claims are kept; the caller's own words stay with the sender.
func KeyOf(o galenastair.Organisation, k galenastair.IdempotencyKey) Key {
	organisation := sha256.Sum256([]byte(o))
	sum := sha256.Sum256(append(organisation[:], k...))
	return Key(hex.EncodeToString(sum[:digestLength]))
}

// AttemptID names one try to send a request; its sender is the only one that may settle it.
type AttemptID struct {
	Sender  galenastair.InstanceID
	Request galenastair.RequestID
}

// Process names one process of an instance: one that was started again has lost what it kept.
type Process struct {
	ID          galenastair.InstanceID
	Incarnation int64
}

// Open is the state of an attempt that its sender has not settled.
const Open galenastair.Outcome = "Open"

// Attempt is one try to send a request under an idempotency key.
type Attempt struct {
	Key Key
	ID  AttemptID
	// Incarnation is the sender's: one that was started again knows nothing of the attempt.
	Incarnation int64
	Digest      Digest
	// State is Open, or the outcome.
	State galenastair.Outcome
	// Copies are the instances that may keep the attempt besides its sender and
	// the key's home, and must hear its outcome.
	Copies []galenastair.InstanceID
	// Kept are those of them that said so; a copy whose answer was lost does not count.
	Kept []Process
	// Began is when this instance would have recorded it, by its own clock.
	Began time.Time
}

func (a *Attempt) free() bool { return a.State == galenastair.NotRun }

// settle records what the sender says; one that is free is remembered from then on.
func (a *Attempt) settle(now time.Time, o galenastair.Outcome) {
	if a.State != Open || o == Open {
		return
	}
	a.State = o
	if a.free() {
		a.Began = now
	}
}
