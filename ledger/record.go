package ledger

import (
	"encoding/json"

	"galenastair"
)

// Record kinds of orders in the control stream.
const (
	KindIssued  galenastair.RecordKind = "OrderIssued"
	KindSettled galenastair.RecordKind = "OrderSettled"
)

// Issued is the record of an order, appended before the order is sent.
type Issued struct {
	Order galenastair.Order
}

// Settlement is the reason why no copy of an order can arrive any more.
type Settlement string

// Reasons for settling an order.
const (
	Answered   Settlement = "Answered"
	Refused    Settlement = "Refused"
	NeverSent  Settlement = "NeverSent"
	Superseded Settlement = "Superseded"
	Expired    Settlement = "Expired"
)

// Settled is the record that releases the memory reserved for an order.
type Settled struct {
	Order      galenastair.OrderID
	Fence      galenastair.Fence
	Settlement Settlement
}

// ApplyResult is the result of applying a record.
type ApplyResult string

// Results of applying a record. NoEffect is that of a record that cannot be decoded or is not the
// leader's, UnknownKind that of a record that is not about orders.
const (
	Applied     ApplyResult = "Valid"
	NoEffect    ApplyResult = "Void"
	UnknownKind ApplyResult = "Foreign"
)

// Leader identifies the leader at a record's offset.
type Leader struct {
	ID    galenastair.InstanceID
	Fence galenastair.Fence
}

// decode parses a record's body. A record with a malformed body has no effect on any instance.
func decode[T any](rec galenastair.Record) (T, bool) {
	var body T
	err := json.Unmarshal(rec.Body, &body)
	return body, err == nil
}
