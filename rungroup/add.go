package rungroup

import (
	"context"

	"github.com/go-kit/log"
	"github.com/oklog/run"
)

// Add adds a component of an instance to the group. Its context is cancelled when the group
// stops. If the component returns before that, Add logs it and the group stops.
func Add(ctx context.Context, g *run.Group, l log.Logger, name string, component func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	g.Add(func() error {
		err := component(ctx)
		if ctx.Err() == nil {
			l.Log("event", "ended", "part", name, "err", err)
			return err
		}
		return nil
	}, func(error) { cancel() })
}
