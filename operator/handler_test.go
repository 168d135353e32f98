package operator

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/request"
)

type fakeState struct {
	ready  error
	status Status
}

func (s *fakeState) Ready() error   { return s.ready }
func (s *fakeState) Status() Status { return s.status }

func get(t *testing.T, h http.Handler, method, path string) (int, string) {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, nil))
	body, err := io.ReadAll(w.Result().Body)
	if err != nil {
		t.Fatal(err)
	}
	return w.Code, string(body)
}

// A process that takes no requests is alive all the same: a platform that asks
// /healthz must not restart it, while its balancer must pass it by.
// Seen failing with /healthz asking Ready, and with ready answering 200 always.
func TestHealthAndReadiness(t *testing.T) {
	is := is.New(t)
	s := &fakeState{ready: galenastair.ErrNotMember}
	h := NewHandler(s, NewMetrics())
	code, _ := get(t, h, "GET", "/healthz")
	is.Equal(code, http.StatusOK)
	code, body := get(t, h, "GET", "/readyz")
	is.Equal(code, http.StatusServiceUnavailable)
	is.Equal(body, galenastair.ErrNotMember.Error()+"\n")
	s.ready = nil
	code, body = get(t, h, "GET", "/readyz")
	is.Equal(code, http.StatusOK)
	is.Equal(body, "ready\n")
	code, _ = get(t, h, "POST", "/readyz")
	is.Equal(code, http.StatusMethodNotAllowed)
}

// Seen failing with a json tag on NotReady, which the command line would not read.
func TestStatusReadsBack(t *testing.T) {
	is := is.New(t)
	s := &fakeState{status: Status{
		Instance: "entry-1", NotReady: "no lease", LogContact: time.Second, Epoch: 3, Fence: 9,
		Members:        []MemberStatus{{Instance: "entry-2", PeerAddress: "127.0.0.1:1"}},
		BackendServers: []BackendServerStatus{{BackendServer: "engine-1", Ready: []galenastair.ModelName{"m"}}},
	}}
	_, body := get(t, NewHandler(s, NewMetrics()), "GET", "/status")
	var read Status
	is.NoErr(json.Unmarshal([]byte(body), &read))
	is.Equal(read, s.status)
	is.True(strings.Contains(body, `"NotReady":"no lease"`))
}

// Attainment counts whole answers alone that kept both times; a cut one is no
// attainment, however fast its first token was.
// Seen failing with the code not looked at, with one of the two times not looked
// at, and with retries counting the first attempt.
func TestMetrics(t *testing.T) {
	is := is.New(t)
	m := NewMetrics()
	end := func(first, between time.Duration, code galenastair.Code, attempts int) {
		m.RequestEnded(request.Summary{
			Organisation: "Furnir", Code: code, Outcome: galenastair.Ran, Used: 10,
			TimeToFirstToken: first, InterTokenLatency: between, Attempts: attempts,
		})
	}
	end(aimFirstToken, aimBetweenToken, "", 1)
	end(aimFirstToken+1, aimBetweenToken, "", 3)
	end(aimFirstToken, aimBetweenToken+1, "", 1)
	end(time.Millisecond, 0, "AnswerCut", 1)
	end(0, 0, "RateExceeded", 0)
	_, body := get(t, NewHandler(&fakeState{}, m), "GET", "/metrics")
	for _, line := range []string{
		`galenastair_requests_total{code="",organisation="Furnir",outcome="Ran"} 3`,
		`galenastair_requests_total{code="AnswerCut",organisation="Furnir",outcome="Ran"} 1`,
		`galenastair_requests_attained_total{organisation="Furnir"} 1`,
		`galenastair_tokens_total{organisation="Furnir"} 50`,
		`galenastair_retries_total 2`,
		`galenastair_first_token_seconds_count 4`,
	} {
		if !strings.Contains(body, line+"\n") {
			t.Errorf("no line %q", line)
		}
	}
	is.True(!strings.Contains(body, "go_goroutines"))
}
