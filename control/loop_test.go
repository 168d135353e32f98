package control

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"
)

func TestLoopRunsFunctionsInOrder(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	l := NewLoop()
	runErr := make(chan error, 1)
	go func() { runErr <- l.Run(ctx) }()
	var got []int
	for i := range 3 {
		is.NoErr(l.Post(ctx, func() { got = append(got, i) }))
	}
	is.NoErr(l.Do(ctx, func() {}))
	is.Equal(got, []int{0, 1, 2})
	cancel()
	is.True(errors.Is(<-runErr, context.Canceled))
	is.Equal(l.Post(context.Background(), func() {}), ErrStopped)
}
