package history

import (
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/rotisserie/eris"

	"galenastair"
)

var (
	// ErrGivenTwice says that a key was given while it was taken or used up.
	ErrGivenTwice = eris.New("a key was given to two requests")
	// ErrTooLong says that the check did not end within its time.
	ErrTooLong = eris.New("the history could not be checked in time")
)

// Call is one call of Begin that was granted, or one of Finish; refused ones need not be noted.
type Call struct {
	Organisation galenastair.Organisation
	Key          galenastair.IdempotencyKey
	// Caller tells apart what runs at the same time; its calls follow each other.
	Caller   int
	Start    time.Time
	End      time.Time
	Finished bool
	// Outcome is what a finished request was said to have done.
	Outcome galenastair.Outcome
}

type register struct {
	organisation galenastair.Organisation
	key          galenastair.IdempotencyKey
}

// keyState is what a key may be for its callers.
type keyState int

const (
	free keyState = iota
	taken
	used
)

// model gives a key only while it is free, and frees it only when its request did not run.
var model = porcupine.Model{
	Partition: byKey,
	Init:      func() any { return free },
	Step: func(state, input, _ any) (bool, any) {
		c := input.(Call)
		switch {
		case !c.Finished:
			return state == free, taken
		case c.Outcome == galenastair.NotRun:
			return state == taken, free
		default:
			return state == taken, used
		}
	},
}

func byKey(history []porcupine.Operation) [][]porcupine.Operation {
	parts := make(map[register][]porcupine.Operation)
	for _, op := range history {
		c := op.Input.(Call)
		r := register{c.Organisation, c.Key}
		parts[r] = append(parts[r], op)
	}
	list := make([][]porcupine.Operation, 0, len(parts))
	for _, part := range parts {
		list = append(list, part)
	}
	return list
}

// Check says whether the calls can be put in an order that gives no key twice.
func Check(calls []Call, within time.Duration) error {
	ops := make([]porcupine.Operation, 0, len(calls))
	for _, c := range calls {
		ops = append(ops, porcupine.Operation{
			ClientId: c.Caller,
			Input:    c,
			Call:     c.Start.UnixNano(),
			Return:   c.End.UnixNano(),
		})
	}
	switch porcupine.CheckOperationsTimeout(model, ops, within) {
	case porcupine.Ok:
		return nil
	case porcupine.Unknown:
		return ErrTooLong
	default:
		return ErrGivenTwice
	}
}
