package entry

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"galenastair"
)

// reportReads bounds the engines asked at once.
const reportReads = 16

// followReports reads each engine's report each period.
func (e *Entry) followReports(ctx context.Context) error {
	tick := time.NewTicker(e.settings.Engines.ReportPeriod)
	defer tick.Stop()
	for {
		e.readReports(ctx)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (e *Entry) readReports(ctx context.Context) {
	var g errgroup.Group
	g.SetLimit(reportReads)
	for _, l := range e.fleet.role(galenastair.RoleEngine) {
		g.Go(func() error {
			e.readReport(ctx, l)
			return nil
		})
	}
	_ = g.Wait()
}

func (e *Entry) readReport(ctx context.Context, l galenastair.ListedInstance) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := e.engine.Report(ctx, l.Address)
	if err != nil {
		return
	}
	r.BackendServer = galenastair.BackendServerID(l.ID)
	e.fleet.report(r, time.Now())
	e.dispatcher.Report(r)
	_ = e.leader.Report(ctx, r)
}
