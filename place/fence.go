package place

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"galenastair"
)

// raisePeriod is how often an engine that does not show the leader's fence yet is asked:
// reports lag by a second, and nothing is ordered there before.
const raisePeriod = 500 * time.Millisecond

// takesOrders says whether an order to a backend server could be sent now.
//
// Failure guarded against: in an outage of the log the planner goes on choosing an
// engine that ignores fences for a model without a copy, since it has most room, and
// each try ends without a record; the model has no copy until the log is back, though
// an engine that checks fences has room as well.
func (l *Leader) takesOrders(now time.Time, id galenastair.BackendServerID) bool {
	if l.reports[id].ChecksFence {
		return l.ledger.FenceConfirmed(id, l.fence)
	}
	return l.records(now) && now.Sub(l.recordFailed) >= failureRest
}

// engineState says whether a listed engine can be given orders, and if not, why.
type engineState string

const (
	takesOrders  engineState = "TakesOrders"
	notReported  engineState = "NotReported"
	fenceNotSeen engineState = "FenceNotSeen"
	noRecords    engineState = "NoRecords"
)

func (l *Leader) engineStateOf(now time.Time, id galenastair.BackendServerID) engineState {
	r, reported := l.reports[id]
	switch {
	case !reported:
		return notReported
	case l.takesOrders(now, id):
		return takesOrders
	case r.ChecksFence:
		return fenceNotSeen
	}
	return noRecords
}

// openingFor is longer than a fence mostly takes to be raised and shown.
const openingFor = 2 * time.Second

// opening says whether an engine lacks only the fence, and since a moment ago: a new leader that
// does not wait for it unloads copies elsewhere to make room that is there.
func (l *Leader) opening(now time.Time, id galenastair.BackendServerID) bool {
	return l.engineStateOf(now, id) == fenceNotSeen && now.Sub(l.stateSince[id]) < openingFor
}

// logStates logs each change of what keeps a listed engine from being given orders.
func (l *Leader) logStates(now time.Time) {
	for id := range l.servers {
		state := l.engineStateOf(now, id)
		if l.states[id] == state {
			continue
		}
		l.states[id], l.stateSince[id] = state, now
		_ = l.logger.Log("event", "engine", "server", id, "state", state, "fence", l.fence, "shown", l.reports[id].HighestFence)
	}
}

// raiseFences makes engines that check fences refuse what former leaders have sent.
func (l *Leader) raiseFences(ctx context.Context, now time.Time) {
	for _, id := range l.known() {
		if !l.reports[id].ChecksFence || l.ledger.FenceConfirmed(id, l.fence) || now.Sub(l.looked[id]) < raisePeriod {
			continue
		}
		l.looked[id] = now
		fence, address := l.fence, l.servers[id].Address
		l.tasks.Go(func() {
			if err := l.raise(ctx, id, address, fence); err != nil {
				_ = l.logger.Log("event", "raise", "server", id, "fence", fence, "err", err)
			}
		})
	}
}

// raise sends an order that changes nothing, unless the engine shows the fence already:
// an unload of what is not there takes no memory, whenever it arrives.
func (l *Leader) raise(ctx context.Context, id galenastair.BackendServerID, address string, f galenastair.Fence) error {
	r, err := l.ask(ctx, id)
	if err != nil || r.HighestFence >= f {
		return err
	}
	if fence, leads := l.duty(l.clock.Now()); !leads || fence != f {
		return errNotLeader
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = l.engine.Order(call, address, galenastair.Order{
		ID:            galenastair.OrderID(uuid.NewString()),
		Fence:         f,
		BackendServer: id,
		Kind:          galenastair.UnloadModel,
	})
	if err != nil && !errors.Is(err, galenastair.ErrDeclined) {
		return err
	}
	_, err = l.ask(ctx, id)
	return err
}
