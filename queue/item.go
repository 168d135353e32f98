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
	// Entitled says that its organisation is within its share, so that the item is
	// neither late nor foretold to be: others' backlogs are not waited for.
	Entitled bool
	// Deadline is when the first token is no longer of use; zero for none.
	Deadline time.Time
}

// Late says whether the item can no longer be served well.
func (it *Item) Late(now time.Time) bool {
	return !it.Entitled && !it.Fresh.IsZero() && now.After(it.Fresh)
}

// Refused is an item that leaves the queue unserved.
type Refused struct {
	Item *Item
	Err  *galenastair.Refusal
}
