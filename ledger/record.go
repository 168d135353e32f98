package ledger

import (
	"encoding/json"

	"galenastair"
)

// The kinds of order record in the control stream.
const (
	KindIssued  galenastair.RecordKind = "OrderIssued"
	KindSettled galenastair.RecordKind = "OrderSettled"
)

// Issued is the record of an order, appended before the order is sent.
type Issued struct {
	Order galenastair.Order
}

// Settlement says why no copy of an order can arrive any more.
type Settlement string

// The reasons for settling an order.
const (
	Answered   Settlement = "Answered"
	Refused    Settlement = "Refused"
	NeverSent  Settlement = "NeverSent"
	Superseded Settlement = "Superseded"
	Expired    Settlement = "Expired"
)

// Settled is the record that ends an order's reservation.
type Settled struct {
	Order      galenastair.OrderID
	Fence      galenastair.Fence
	Settlement Settlement
}

// Verdict says what the fold made of a record.
type Verdict string

// The verdicts on a record.
const (
	Valid   Verdict = "Valid"
	Void    Verdict = "Void"
	Foreign Verdict = "Foreign"
)

// Leader is who leads at a record's offset.
type Leader struct {
	ID    galenastair.InstanceID
	Fence galenastair.Fence
}

// decode reads a body; one that cannot be read is void for every reader alike.
func decode[T any](rec galenastair.Record) (T, bool) {
	var body T
	err := json.Unmarshal(rec.Body, &body)
	return body, err == nil
}
