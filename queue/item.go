package queue

import (
	"time"

	"galenastair"
)

// Item is one waiting request.
type Item struct {
	ID           galenastair.RequestID
	Organisation galenastair.Organisation
	// Weight is the rate of the contract.
	Weight galenastair.TokensPerSecond
	// Cost is what the request takes of its organisation's share.
	Cost galenastair.Tokens
	// LateAfter is the time until which the request can be served well; zero for no limit.
	LateAfter time.Time
	// WithinShare means that the organisation is within its share. Such an item is never late and
	// never refused on an estimate, because it does not wait for the backlogs of others.
	WithinShare bool
	// Deadline is when the first token is no longer useful; zero for none.
	Deadline time.Time
}

// Late reports whether the item can no longer be served well.
func (it *Item) Late(now time.Time) bool {
	return !it.WithinShare && !it.LateAfter.IsZero() && now.After(it.LateAfter)
}

// Refused is an item that leaves the queue without being served.
type Refused struct {
	Item *Item
	Err  *galenastair.Refusal
}
