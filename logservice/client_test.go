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

func startPlatform(t *testing.T) (*standin.Platform, *logservice.Client) {
	p := standin.New(standin.WithCatalogue(standin.Catalogue(2, 3, 20, 1)))
	p.UpdateFaults(func(s *standin.Faults) { s.ListLag = 0 })
	server := httptest.NewServer(p.Handler())
	c := logservice.New(server.Listener.Addr().String(), logservice.WithTimeout(100*time.Millisecond))
	t.Cleanup(func() {
		c.Close()
		server.CloseClientConnections()
		server.Close()
	})
	return p, c
}

// Guards against an operator publishing a contract twice because of an error that says that
// the append was refused, although the log has appended the record and only its response
// was lost or late. Fails if all errors map to ErrAppendRefused, or all to ErrAppendUnknown.
func TestAppendErrorTellsWhetherAppended(t *testing.T) {
	p, c := startPlatform(t)
	closed := httptest.NewServer(nil)
	closed.Close()
	tests := []struct {
		name     string
		client   *logservice.Client
		switches standin.Faults
		want     error
		appended bool
	}{
		{"response received", c, standin.Faults{}, nil, true},
		{"response lost", c, standin.Faults{LostAnswers: 1}, galenastair.ErrAppendUnknown, true},
		{"response after the timeout", c, standin.Faults{AppendDelay: 200 * time.Millisecond}, galenastair.ErrAppendUnknown, true},
		{"outage that hangs", c, standin.Faults{Outage: standin.OutageHang}, galenastair.ErrAppendUnknown, false},
		{"outage that refuses", c, standin.Faults{Outage: standin.OutageRefuse}, galenastair.ErrAppendRefused, false},
		{"over the rate limit", c, standin.Faults{AppendsPerSecond: 0.001}, galenastair.ErrAppendRefused, false},
		{"connection refused", logservice.New(closed.Listener.Addr().String()), standin.Faults{}, galenastair.ErrAppendRefused, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			p.UpdateFaults(func(s *standin.Faults) { *s = standin.Faults{} })
			before, err := c.Read(ctx, stream, 1, 0)
			is.NoErr(err)
			p.UpdateFaults(func(s *standin.Faults) { *s = tt.switches })
			for tt.switches.AppendsPerSecond > 0 && err == nil {
				_, err = c.Append(ctx, "other", []byte("x"))
			}
			_, err = tt.client.Append(ctx, stream, []byte("x"))
			is.True(errors.Is(err, tt.want))
			p.UpdateFaults(func(s *standin.Faults) { *s = standin.Faults{} })
			wait := time.Duration(0)
			if tt.appended {
				wait = time.Second
			}
			after, err := c.Read(ctx, stream, before.Next, wait)
			is.NoErr(err)
			is.Equal(len(after.Records) == 1, tt.appended)
		})
	}
}

func TestReadLongPollExpiryAndOutage(t *testing.T) {
	is := is.New(t)
	p, c := startPlatform(t)
	ctx := context.Background()
	got := make(chan galenastair.Batch, 1)
	go func() {
		b, _ := c.Read(ctx, stream, 1, 5*time.Second)
		got <- b
	}()
	_, err := c.Append(ctx, stream, []byte("a"))
	is.NoErr(err)
	is.Equal((<-got).Records, []galenastair.LogRecord{{Offset: 1, Data: []byte("a")}})
	p.UpdateFaults(func(s *standin.Faults) { s.KeepRecords = 1 })
	_, err = c.Append(ctx, stream, []byte("b"))
	is.NoErr(err)
	_, err = c.Read(ctx, stream, 1, 0)
	is.True(errors.Is(err, galenastair.ErrExpired))
	b, err := c.Read(ctx, stream, 2, 0)
	is.NoErr(err)
	is.Equal(b.First, galenastair.Offset(2))
	p.UpdateFaults(func(s *standin.Faults) { s.Outage = standin.OutageRefuse })
	_, err = c.Read(ctx, stream, 2, 0)
	is.True(errors.Is(err, galenastair.ErrLogUnavailable))
}

func TestListIncludesLeavingAndDropsSilent(t *testing.T) {
	is := is.New(t)
	p, c := startPlatform(t)
	ctx := context.Background()
	in := galenastair.ListedInstance{ID: "e1", Role: galenastair.RoleEngine, Address: "127.0.0.1:1"}
	is.NoErr(c.Heartbeat(ctx, in))
	in.Leaving = true
	is.NoErr(c.Heartbeat(ctx, in))
	list, err := c.List(ctx)
	is.NoErr(err)
	is.Equal(list, []galenastair.ListedInstance{in})
	p.UpdateFaults(func(s *standin.Faults) { s.SilentAfter = 0 })
	list, err = c.List(ctx)
	is.NoErr(err)
	is.Equal(len(list), 0)
	weights, err := c.Catalogue(ctx)
	is.NoErr(err)
	is.Equal(len(weights), 5)
	is.Equal(weights[4].Base, galenastair.ModelName("model-1"))
}
