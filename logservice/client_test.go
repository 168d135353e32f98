package logservice_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/logservice"
	standin "galenastair/standin/platform"
)

const stream = galenastair.ConfigurationStream

func start(t *testing.T) (*standin.Platform, *logservice.Client) {
	p := standin.New(standin.WithCatalogue(standin.Catalogue(2, 3, 20, 1)))
	p.Switch(func(s *standin.Switches) { s.ListLag = 0 })
	server := httptest.NewServer(p.Handler())
	c := logservice.New(server.Listener.Addr().String(), logservice.WithTimeout(100*time.Millisecond))
	t.Cleanup(func() {
		c.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return p, c
}

// An operator reads that a contract was refused, publishes it again, and finds
// it twice. The log acted but its answer was lost, or came too late. Seen failing
// with every error mapped to ErrAppendRefused, and with each to ErrAppendUnknown.
func TestAppendSaysWhetherItCanHaveActed(t *testing.T) {
	p, c := start(t)
	gone := httptest.NewServer(nil)
	gone.Close()
	tests := []struct {
		name     string
		client   *logservice.Client
		switches standin.Switches
		want     error
		acted    bool
	}{
		{"answered", c, standin.Switches{}, nil, true},
		{"answer lost", c, standin.Switches{LostAnswers: 1}, galenastair.ErrAppendUnknown, true},
		{"slow beyond the timeout", c, standin.Switches{AppendDelay: 200 * time.Millisecond}, galenastair.ErrAppendUnknown, true},
		{"outage that hangs", c, standin.Switches{Outage: standin.Hang}, galenastair.ErrAppendUnknown, false},
		{"outage that refuses", c, standin.Switches{Outage: standin.Refuse}, galenastair.ErrAppendRefused, false},
		{"over the limit", c, standin.Switches{AppendsPerSecond: 0.001}, galenastair.ErrAppendRefused, false},
		{"refused connection", logservice.New(gone.Listener.Addr().String()), standin.Switches{}, galenastair.ErrAppendRefused, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			p.Switch(func(s *standin.Switches) { *s = standin.Switches{} })
			before, err := c.Read(ctx, stream, 1, 0)
			is.NoErr(err)
			p.Switch(func(s *standin.Switches) { *s = tt.switches })
			for tt.switches.AppendsPerSecond > 0 && err == nil {
				_, err = c.Append(ctx, "other", []byte("x"))
			}
			_, err = tt.client.Append(ctx, stream, []byte("x"))
			is.True(errors.Is(err, tt.want))
			p.Switch(func(s *standin.Switches) { *s = standin.Switches{} })
			wait := time.Duration(0)
			if tt.acted {
				wait = time.Second
			}
			after, err := c.Read(ctx, stream, before.Next, wait)
			is.NoErr(err)
			is.Equal(len(after.Records) == 1, tt.acted)
		})
	}
}

func TestReadWaitsExpiresAndFails(t *testing.T) {
	is := is.New(t)
	p, c := start(t)
	ctx := context.Background()
	got := make(chan galenastair.Batch, 1)
	go func() {
		b, _ := c.Read(ctx, stream, 1, 5*time.Second)
		got <- b
	}()
	_, err := c.Append(ctx, stream, []byte("a"))
	is.NoErr(err)
	is.Equal((<-got).Records, []galenastair.LogRecord{{Offset: 1, Data: []byte("a")}})
	p.Switch(func(s *standin.Switches) { s.KeepRecords = 1 })
	_, err = c.Append(ctx, stream, []byte("b"))
	is.NoErr(err)
	_, err = c.Read(ctx, stream, 1, 0)
	is.True(errors.Is(err, galenastair.ErrExpired))
	b, err := c.Read(ctx, stream, 2, 0)
	is.NoErr(err)
	is.Equal(b.First, galenastair.Offset(2))
	p.Switch(func(s *standin.Switches) { s.Outage = standin.Refuse })
	_, err = c.Read(ctx, stream, 2, 0)
	is.True(errors.Is(err, galenastair.ErrLogUnavailable))
}

func TestListShowsLeavingAndDropsTheSilent(t *testing.T) {
	is := is.New(t)
	p, c := start(t)
	ctx := context.Background()
	in := galenastair.ListedInstance{ID: "e1", Role: galenastair.RoleEngine, Address: "127.0.0.1:1"}
	is.NoErr(c.Announce(ctx, in))
	in.Leaving = true
	is.NoErr(c.Announce(ctx, in))
	list, err := c.List(ctx)
	is.NoErr(err)
	is.Equal(list, []galenastair.ListedInstance{in})
	p.Switch(func(s *standin.Switches) { s.SilentAfter = 0 })
	list, err = c.List(ctx)
	is.NoErr(err)
	is.Equal(len(list), 0)
	weights, err := c.Catalogue(ctx)
	is.NoErr(err)
	is.Equal(len(weights), 5)
	is.Equal(weights[4].Base, galenastair.ModelName("model-1"))
}
