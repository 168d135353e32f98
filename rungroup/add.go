package rungroup

import (
	"context"

	"github.com/go-kit/log"
	"github.com/oklog/run"
)

// Add adds one part of an instance to the group: it ends with the group, and an end of its
// own, which is logged, ends the others.
func Add(ctx context.Context, g *run.Group, l log.Logger, name string, part func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	g.Add(func() error {
		err := part(ctx)
		if ctx.Err() == nil {
			l.Log("event", "ended", "part", name, "err", err)
			return err
		}
		return nil
	}, func(error) { cancel() })
}
