package service_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/service"
	standin "galenastair/standin/service"
)

// Whatever the failure of the service, a request must be executed at most once, and its
// error must be ErrDeclined only if the service states that it did not execute it: an
// error status alone does not say so. The service must not receive the API key.
func TestCallRunsAtMostOnceWithoutKey(t *testing.T) {
	s := standin.New(standin.WithExit(func() {}))
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	c := service.New()
	defer c.Close()
	tests := []struct {
		name     string
		switches standin.Faults
		want     error
		status   int
		runs     int
	}{
		{"answered", standin.Faults{}, nil, http.StatusOK, 1},
		{"failed after the effect", standin.Faults{Fail: true}, nil, http.StatusInternalServerError, 1},
		{"declined", standin.Faults{Decline: true}, galenastair.ErrDeclined, 0, 0},
		{"answer lost", standin.Faults{LoseAnswers: true}, galenastair.ErrBackendFailed, 0, 1},
		{"died after the effect", standin.Faults{DieAfterEffect: true}, galenastair.ErrBackendFailed, 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s.UpdateFaults(func(sw *standin.Faults) { *sw = tt.switches })
			before := s.Calls().Total
			answer, err := c.Call(context.Background(), server.Listener.Addr().String(), galenastair.ServiceRequest{
				ID:     galenastair.RequestID(tt.name),
				Method: http.MethodPost,
				Path:   "/bids",
				Header: http.Header{"Authorization": {"Bearer k"}, "Idempotency-Key": {"b1"}},
				Body:   []byte(`{"Call":"b1"}`),
			})
			is.True(errors.Is(err, tt.want))
			is.Equal(answer.Status, tt.status)
			is.Equal(s.Calls().Total-before, tt.runs)
			if err == nil {
				_, err = io.Copy(io.Discard, answer.Body)
				is.NoErr(err)
				answer.Body.Close()
			}
		})
	}
	is.New(t).Equal(s.Calls().Keys, 0)
}

// Reading the body of a truncated response must fail.
func TestTruncatedResponseIsAnError(t *testing.T) {
	is := is.New(t)
	s := standin.New()
	s.UpdateFaults(func(sw *standin.Faults) { sw.CutAnswers = true })
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	c := service.New()
	defer c.Close()
	answer, err := c.Call(context.Background(), server.Listener.Addr().String(), galenastair.ServiceRequest{Method: http.MethodGet, Path: "/"})
	is.NoErr(err)
	defer answer.Body.Close()
	_, err = io.ReadAll(answer.Body)
	is.True(err != nil)
}
