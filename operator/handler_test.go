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

type fakeStatusReporter struct {
	ready  error
	status Status
}

func (s *fakeStatusReporter) Ready() error   { return s.ready }
func (s *fakeStatusReporter) Status() Status { return s.status }

func doRequest(t *testing.T, h http.Handler, method, path string) (int, string) {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, nil))
	body, err := io.ReadAll(w.Result().Body)
	if err != nil {
		t.Fatal(err)
	}
	return w.Code, string(body)
}

// An instance that does not accept requests must be live but not ready: the platform
// must not restart it, and the load balancer must not send requests to it.
func TestHealthAndReadiness(t *testing.T) {
	is := is.New(t)
	s := &fakeStatusReporter{ready: galenastair.ErrNotMember}
	h := NewHandler(s, NewMetrics())
	code, _ := doRequest(t, h, "GET", "/healthz")
	is.Equal(code, http.StatusOK)
	code, body := doRequest(t, h, "GET", "/readyz")
	is.Equal(code, http.StatusServiceUnavailable)
	is.Equal(body, galenastair.ErrNotMember.Error()+"\n")
	s.ready = nil
	code, body = doRequest(t, h, "GET", "/readyz")
	is.Equal(code, http.StatusOK)
	is.Equal(body, "ready\n")
	code, _ = doRequest(t, h, "POST", "/readyz")
	is.Equal(code, http.StatusMethodNotAllowed)
}

// The command line decodes /status into Status, and other readers use the names of its
// fields; a JSON tag that renames a field would break them.
func TestStatusJSON(t *testing.T) {
	is := is.New(t)
	s := &fakeStatusReporter{status: Status{
		Instance: "entry-1", NotReady: "no lease", LogContact: time.Second, Epoch: 3, Fence: 9,
		Members:        []MemberStatus{{Instance: "entry-2", PeerAddress: "127.0.0.1:1"}},
		BackendServers: []BackendServerStatus{{BackendServer: "engine-1", Ready: []galenastair.ModelName{"m"}}},
	}}
	_, body := doRequest(t, NewHandler(s, NewMetrics()), "GET", "/status")
	var read Status
	is.NoErr(json.Unmarshal([]byte(body), &read))
	is.Equal(read, s.status)
	is.True(strings.Contains(body, `"NotReady":"no lease"`))
}

// Only complete responses that meet both latency targets must count as attained, not
// truncated ones, however fast their first token was. The first attempt of a request
// must not count as a retry.
func TestMetrics(t *testing.T) {
	is := is.New(t)
	m := NewMetrics()
	end := func(first, between time.Duration, code galenastair.Code, attempts int) {
		m.RequestEnded(request.Summary{
			Organisation: "Furnir", Code: code, Outcome: galenastair.OutcomeRan, Used: 10,
			TimeToFirstToken: first, InterTokenLatency: between, Attempts: attempts,
		})
	}
	end(targetTimeToFirstToken, targetInterTokenLatency, "", 1)
	end(targetTimeToFirstToken+1, targetInterTokenLatency, "", 3)
	end(targetTimeToFirstToken, targetInterTokenLatency+1, "", 1)
	end(time.Millisecond, 0, "AnswerCut", 1)
	end(0, 0, "RateExceeded", 0)
	_, body := doRequest(t, NewHandler(&fakeStatusReporter{}, m), "GET", "/metrics")
	for _, line := range []string{
		`galenastair_requests_total{code="",organisation="Furnir",outcome="Ran"} 3`,
		`galenastair_requests_total{code="AnswerCut",organisation="Furnir",outcome="Ran"} 1`,
		`galenastair_requests_attained_total{organisation="Furnir"} 1`,
		`galenastair_tokens_total{organisation="Furnir"} 50`,
		`galenastair_retries_total 2`,
		`galenastair_first_token_seconds_count 4`,
	} {
		if !strings.Contains(body, line+"\n") {
			t.Errorf("/metrics has no line %q", line)
		}
	}
	is.True(!strings.Contains(body, "go_goroutines"))
}
