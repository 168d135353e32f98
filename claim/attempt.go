package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"galenastair"
)

// Key is a hash of an organisation and one of its idempotency keys.
type Key string

// KeyOf returns the Key of an idempotency key. Other instances receive only the hash, not
// the text that the caller chose.
func KeyOf(o galenastair.Organisation, k galenastair.IdempotencyKey) Key {
	organisation := sha256.Sum256([]byte(o))
	sum := sha256.Sum256(append(organisation[:], k...))
	return Key(hex.EncodeToString(sum[:digestLength]))
}

// AttemptID identifies one attempt to send a request. Only its sender may settle it.
type AttemptID struct {
	Sender  galenastair.InstanceID
	Request galenastair.RequestID
}

// Process identifies one process of an instance. A restarted process has a new incarnation
// and has lost the attempts that the previous one stored.
type Process struct {
	ID          galenastair.InstanceID
	Incarnation int64
}

// Open is the state of an attempt that its sender has not settled yet.
const Open galenastair.Outcome = "Open"

// Attempt is one attempt to send a request with an idempotency key.
type Attempt struct {
	Key Key
	ID  AttemptID
	// Incarnation is the sender's; a restarted sender does not know the attempt.
	Incarnation int64
	Digest      Digest
	// State is Open or the outcome.
	State galenastair.Outcome
	// CopyTargets are the instances, besides the sender and the owner of the key, to which
	// a copy was sent. They may have stored it and must receive the outcome.
	CopyTargets []galenastair.InstanceID
	// ConfirmedCopies are those that confirmed that they stored the copy. One whose reply
	// was lost does not count.
	ConfirmedCopies []Process
	// StartedAt is the start of the attempt on this instance's clock.
	StartedAt time.Time
}

// isReleased reports whether the attempt no longer holds its key.
func (a *Attempt) isReleased() bool { return a.State == galenastair.OutcomeNotRun }

// settle sets the outcome that the sender reported. The retention of a released attempt starts now.
func (a *Attempt) settle(now time.Time, o galenastair.Outcome) {
	if a.State != Open || o == Open {
		return
	}
	a.State = o
	if a.isReleased() {
		a.StartedAt = now
	}
}
