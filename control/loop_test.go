package control

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"
)

func TestLoopRunsWorkInOrder(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	l := NewLoop()
	ended := make(chan error, 1)
	go func() { ended <- l.Run(ctx) }()
	var got []int
	for i := range 3 {
		is.NoErr(l.Post(ctx, func() { got = append(got, i) }))
	}
	is.NoErr(l.Do(ctx, func() {}))
	is.Equal(got, []int{0, 1, 2})
	cancel()
	is.True(errors.Is(<-ended, context.Canceled))
	is.Equal(l.Post(context.Background(), func() {}), ErrStopped)
}
