package history

import (
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/rotisserie/eris"

	"galenastair"
)

var (
	// ErrGrantedTwice is returned when a key was granted while it was claimed or consumed.
	ErrGrantedTwice = eris.New("an idempotency key was granted to two requests")
	// ErrCheckTimeout is returned when the check did not finish in time.
	ErrCheckTimeout = eris.New("the check of the history timed out")
)

// Call is a call of Begin that was granted, or a call of Finish. Refused calls are not needed.
type Call struct {
	Organisation galenastair.Organisation
	Key          galenastair.IdempotencyKey
	// Client identifies a client. The calls of one client are sequential.
	Client   int
	Start    time.Time
	End      time.Time
	Finished bool
	// Outcome is the reported outcome of a finished request.
	Outcome galenastair.Outcome
}

type keyID struct {
	organisation galenastair.Organisation
	key          galenastair.IdempotencyKey
}

// keyState is the state of a key in the model.
type keyState int

const (
	free keyState = iota
	claimed
	consumed
)

// model grants a key only while it is free, and frees it only if its request did not run.
var model = porcupine.Model{
	Partition: partitionByKey,
	Init:      func() any { return free },
	Step: func(state, input, _ any) (bool, any) {
		c := input.(Call)
		switch {
		case !c.Finished:
			return state == free, claimed
		case c.Outcome == galenastair.OutcomeNotRun:
			return state == claimed, free
		default:
			return state == claimed, consumed
		}
	},
}

func partitionByKey(history []porcupine.Operation) [][]porcupine.Operation {
	parts := make(map[keyID][]porcupine.Operation)
	for _, op := range history {
		c := op.Input.(Call)
		r := keyID{c.Organisation, c.Key}
		parts[r] = append(parts[r], op)
	}
	list := make([][]porcupine.Operation, 0, len(parts))
	for _, part := range parts {
		list = append(list, part)
	}
	return list
}

// Check reports an error unless the calls are linearizable in an order that grants no key twice.
func Check(calls []Call, timeout time.Duration) error {
	ops := make([]porcupine.Operation, 0, len(calls))
	for _, c := range calls {
		ops = append(ops, porcupine.Operation{
			ClientId: c.Client,
			Input:    c,
			Call:     c.Start.UnixNano(),
			Return:   c.End.UnixNano(),
		})
	}
	switch porcupine.CheckOperationsTimeout(model, ops, timeout) {
	case porcupine.Ok:
		return nil
	case porcupine.Unknown:
		return ErrCheckTimeout
	default:
		return ErrGrantedTwice
	}
}
