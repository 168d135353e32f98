package queue

import (
	"time"

	"galenastair"
)

// Item is one waiting request.
type Item struct {
	ID           galenastair.RequestID
	Organisation galenastair.Organisation
	// Weight is the contract's rate.
	Weight galenastair.TokensPerSecond
	// Cost is what the request takes of its organisation's share.
	Cost galenastair.Tokens
	// Fresh is until when the request can still be served well; zero for always.
	Fresh time.Time
	// Deadline is when the first token is no longer of use; zero for none.
	Deadline time.Time
}

// late says whether the item can no longer be served well.
func (it *Item) late(now time.Time) bool {
	return !it.Fresh.IsZero() && now.After(it.Fresh)
}

// Refused is an item that leaves the queue unserved.
type Refused struct {
	Item *Item
	Err  *galenastair.Refusal
}
