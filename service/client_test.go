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

// An auction house finds one bid twice, or none although its caller read that it
// ran; and a plain service finds the caller's key in its logs. Each failure of a
// service is caused in turn. Seen failing with Authorization not dropped, and
// with an error status alone taken for the word that nothing ran.
func TestCallRunsAtMostOnceAndShowsNoKey(t *testing.T) {
	s := standin.New(standin.WithExit(func() {}))
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	c := service.New()
	defer c.Close()
	tests := []struct {
		name     string
		switches standin.Switches
		want     error
		status   int
		runs     int
	}{
		{"answered", standin.Switches{}, nil, http.StatusOK, 1},
		{"failed after the effect", standin.Switches{Fail: true}, nil, http.StatusInternalServerError, 1},
		{"declined", standin.Switches{Decline: true}, galenastair.ErrDeclined, 0, 0},
		{"answer lost", standin.Switches{LoseAnswers: true}, galenastair.ErrBackendServer, 0, 1},
		{"died after the effect", standin.Switches{DieAfterEffect: true}, galenastair.ErrBackendServer, 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s.Switch(func(sw *standin.Switches) { *sw = tt.switches })
			before := s.Calls().Total
			answer, err := c.Call(context.Background(), server.Listener.Addr().String(), galenastair.ServiceCall{
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

func TestCutAnswerOfAServiceIsAnError(t *testing.T) {
	is := is.New(t)
	s := standin.New()
	s.Switch(func(sw *standin.Switches) { sw.CutAnswers = true })
	server := httptest.NewServer(s.Handler())
	defer server.Close()
	c := service.New()
	defer c.Close()
	answer, err := c.Call(context.Background(), server.Listener.Addr().String(), galenastair.ServiceCall{Method: http.MethodGet, Path: "/"})
	is.NoErr(err)
	defer answer.Body.Close()
	_, err = io.ReadAll(answer.Body)
	is.True(err != nil)
}
