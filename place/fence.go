package place

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"galenastair"
)

// fencePollInterval is the interval at which an engine is asked until its report shows the
// leader's fence. Reports lag by about a second, and no order is sent there before that.
const fencePollInterval = 500 * time.Millisecond

// canSendOrder reports whether an order to a backend server could be sent now.
//
// Engines that ignore fences need a record of each order, so they are excluded during a log
// outage. Otherwise the planner would keep choosing such an engine for a model without a copy
// because it has the most free memory, every attempt would fail, and the model would stay
// unavailable until the log is back although an engine that checks fences has room.
func (l *Leader) canSendOrder(now time.Time, id galenastair.BackendServerID) bool {
	if l.reports[id].ChecksFence {
		return l.ledger.FenceConfirmed(id, l.fence)
	}
	return l.logReachable(now) && now.Sub(l.recordFailedAt) >= retryDelay
}

// engineState is whether a listed engine can be given orders, or the reason why not.
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
	case l.canSendOrder(now, id):
		return takesOrders
	case r.ChecksFence:
		return fenceNotSeen
	}
	return noRecords
}

// fenceGracePeriod is longer than an engine usually takes to accept and report a new fence.
const fenceGracePeriod = 2 * time.Second

// awaitingFence reports whether an engine lacks nothing but the leader's fence, and has lacked it
// for less than fenceGracePeriod. A new leader that does not wait for it would unload copies
// elsewhere although this engine has room.
func (l *Leader) awaitingFence(now time.Time, id galenastair.BackendServerID) bool {
	return l.engineStateOf(now, id) == fenceNotSeen && now.Sub(l.stateSince[id]) < fenceGracePeriod
}

// logEngineStates logs each change of an engine's state.
func (l *Leader) logEngineStates(now time.Time) {
	for id := range l.servers {
		state := l.engineStateOf(now, id)
		if l.engineStates[id] == state {
			continue
		}
		l.engineStates[id], l.stateSince[id] = state, now
		_ = l.logger.Log("event", "engine", "server", id, "state", state, "fence", l.fence, "shown", l.reports[id].HighestFence)
	}
}

// raiseFences makes engines that check fences reject the orders of former leaders.
func (l *Leader) raiseFences(ctx context.Context, now time.Time) {
	for _, id := range l.reportingServers() {
		if !l.reports[id].ChecksFence || l.ledger.FenceConfirmed(id, l.fence) || now.Sub(l.polledAt[id]) < fencePollInterval {
			continue
		}
		l.polledAt[id] = now
		fence, address := l.fence, l.servers[id].Address
		l.tasks.Go(func() {
			if err := l.raiseFence(ctx, id, address, fence); err != nil {
				_ = l.logger.Log("event", "raise", "server", id, "fence", fence, "err", err)
			}
		})
	}
}

// raiseFence sends an order without effect unless the engine's report shows the fence already.
// The order unloads a model without a name, so it takes no memory whenever it arrives.
func (l *Leader) raiseFence(ctx context.Context, id galenastair.BackendServerID, address string, f galenastair.Fence) error {
	r, err := l.fetchReport(ctx, id)
	if err != nil || r.HighestFence >= f {
		return err
	}
	if fence, leads := l.leadership(l.clock.Now()); !leads || fence != f {
		return errNotLeader
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err = l.engine.SendOrder(call, address, galenastair.Order{
		ID:            galenastair.OrderID(uuid.NewString()),
		Fence:         f,
		BackendServer: id,
		Kind:          galenastair.UnloadModel,
	})
	if err != nil && !errors.Is(err, galenastair.ErrDeclined) {
		return err
	}
	_, err = l.fetchReport(ctx, id)
	return err
}
