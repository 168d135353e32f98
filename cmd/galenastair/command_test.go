package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"galenastair"
	"galenastair/caller"
	"galenastair/load"
	"galenastair/operator"
	"galenastair/request"
)

// exec runs a command and returns its exit status, standard output and standard error.
func exec(t *testing.T, args ...string) (status int, out, errOut string) {
	var o, e bytes.Buffer
	status = dispatch(t.Context(), args, &o, &e)
	return status, o.String(), e.String()
}

// Every command must be listed and described, with the flags of its subcommands. Guards against
// a runSubcommand that does not know -h, which makes help contract and help key end with status 2.
func TestHelp(t *testing.T) {
	is := is.New(t)
	status, list, _ := exec(t, "help")
	is.Equal(status, 0)
	for _, c := range commands {
		is.True(strings.Contains(list, "  "+c.name+" "))
		status, out, errOut := exec(t, "help", c.name)
		is.Equal(status, 0)
		is.True(strings.HasPrefix(out, "usage: galenastair "+c.name))
		is.True(strings.Contains(out, c.summary))
		is.True(!strings.Contains(errOut, "galenastair help"))
	}
	_, _, errOut := exec(t, "help", "contract")
	for _, part := range []string{"publish", "diff", "list", "show", "withdraw"} {
		is.True(strings.Contains(errOut, "Usage of contract "+part+":"))
	}
	_, _, errOut = exec(t, "key", "--help")
	is.True(strings.Contains(errOut, "Usage of key hash:"))
	status, _, errOut = exec(t)
	is.Equal(status, exitUsage)
	is.Equal(errOut, list)
}

// Guards against usage errors that end with the status of a failed command, 1 instead of 2, or
// that don't refer to the help.
func TestUsageErrors(t *testing.T) {
	for _, line := range []string{
		"nonsense", "help nonsense", "entry", "entry -port 1", "check", "contract", "contract pubish", "contract list",
		"contract list -log 127.0.0.1:1 word", "contract publish -log 127.0.0.1:1", "key give -log 127.0.0.1:1",
		"call", "call -entry 127.0.0.1:1", "call -entry 127.0.0.1:1 -model a -service b",
		"call -entry 127.0.0.1:1 -model a -max-tokens x", "status", "load -entry 127.0.0.1:1", "load -model a",
	} {
		t.Run(line, func(t *testing.T) {
			is := is.New(t)
			status, out, errOut := exec(t, strings.Fields(line)...)
			is.Equal(status, exitUsage)
			is.Equal(out, "")
			is.True(strings.Contains(errOut, "galenastair"))
		})
	}
}

// Guards against a hash command that ignores its arguments: given a key as an argument, it would
// wait for standard input and then report that it got no key.
func TestKeyIsNoArgument(t *testing.T) {
	is := is.New(t)
	status, _, errOut := exec(t, "key", "hash", "gsk-1")
	is.Equal(status, exitUsage)
	is.True(strings.Contains(errOut, "hash takes no arguments: it reads the key from standard input"))
	is.True(!strings.Contains(errOut, "gsk-1"))
}

// fakeEntry answers each request with two tokens, or with the error refuse if it is set.
type fakeEntry struct{ refuse error }

func (f fakeEntry) Complete(_ context.Context, _ request.Call, sink request.ResponseWriter) error {
	if f.refuse != nil {
		return f.refuse
	}
	for i, data := range []string{`{"choices":[{"index":0,"delta":{"content":"a"}}]}`, `{"choices":[{"index":0,"delta":{"content":"b"},"finish_reason":"stop"}]}`} {
		if err := sink.WriteChunk(galenastair.Chunk{Sequence: int64(i + 1), Data: []byte(data)}); err != nil {
			return err
		}
	}
	return sink.WriteChunk(galenastair.Chunk{Sequence: 3, End: true})
}

func (f fakeEntry) CallService(context.Context, request.ServiceCall) (galenastair.ServiceResponse, error) {
	return galenastair.ServiceResponse{}, f.refuse
}

func (f fakeEntry) Models(galenastair.KeyHash) ([]galenastair.ModelName, error) { return nil, f.refuse }

func serve(t *testing.T, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// Guards against a result line without the outcome, and against an error response that is
// treated as no response.
func TestCall(t *testing.T) {
	is := is.New(t)
	served := serve(t, caller.NewHandler(fakeEntry{}))
	for _, stream := range []string{"-stream=false", "-stream"} {
		status, out, _ := exec(t, "call", "-entry", served, "-key", "k", stream, "-model", "m", "hello", "there")
		is.Equal(status, 0)
		is.True(strings.HasPrefix(out, "status=200 outcome=Ran code= whole=true request="))
		is.True(strings.HasSuffix(out, " text=\"ab\"\n"))
	}
	refused := serve(t, caller.NewHandler(fakeEntry{galenastair.NewRefusal(galenastair.ErrExceedsBurst, 0, "")}))
	status, out, _ := exec(t, "call", "-entry", refused, "-key", "k", "-service", "bids/lots", "{}")
	is.Equal(status, 0)
	is.True(strings.HasPrefix(out, "status=400 outcome=NotRun code=OverBurst whole=false request="))
	status, _, errOut := exec(t, "call", "-entry", "127.0.0.1:1", "-model", "m")
	is.Equal(status, exitFailed)
	is.True(strings.Contains(errOut, "connection refused"))
}

type fakeState struct{ status operator.Status }

func (s fakeState) Ready() error            { return nil }
func (s fakeState) Status() operator.Status { return s.status }

// Of three addresses, one refuses connections and one is that of a callers' port. The third
// instance must be shown, and the exit status must report the failures. If the HTTP status were
// not checked, the callers' port would be shown as an instance without a name, with exit status 0.
func TestStatus(t *testing.T) {
	is := is.New(t)
	good := serve(t, operator.NewHandler(fakeState{operator.Status{
		Instance: "entry-1", AvailabilityZone: "zone-a", NotReady: "no lease", Epoch: 4, LogContact: 1500 * time.Microsecond,
		BackendServers: []operator.BackendServerStatus{{
			BackendServer: "engine-1", Role: galenastair.RoleEngine, Leaving: true, MemoryUsed: 2, MemoryTotal: 3,
			Ready: []galenastair.ModelName{"model-1", "adapter-1"},
		}},
	}}, operator.NewMetrics()))
	status, out, errOut := exec(t, "status", "-operators", good)
	is.Equal(status, 0)
	is.Equal(errOut, "")
	for _, part := range []string{"entry-1", "no: no lease", "engine-1", "(leaving)", "2/3", "model-1 adapter-1"} {
		is.True(strings.Contains(out, part))
	}
	wrong := serve(t, caller.NewHandler(fakeEntry{}))
	status, out, errOut = exec(t, "status", "-json", "-operators", good+","+wrong+",127.0.0.1:1")
	is.Equal(status, exitFailed)
	is.True(strings.Contains(errOut, "2 instances did not answer"))
	var s operator.Status
	is.NoErr(json.Unmarshal([]byte(out), &s))
	is.Equal(s.Instance, galenastair.InstanceID("entry-1"))
}

// Guards against a load command that succeeds although fewer requests than -want-whole demands
// got a complete answer.
func TestLoad(t *testing.T) {
	is := is.New(t)
	args := func(entry string) []string {
		return []string{"load", "-entry", entry, "-model", "m", "-key", "k", "-rate", "200", "-max-requests", "10", "-time", "2s", "-json", "-want-whole", "1"}
	}
	status, out, errOut := exec(t, args(serve(t, caller.NewHandler(fakeEntry{})))...)
	is.Equal(errOut, "")
	is.Equal(status, 0)
	var r load.Result
	is.NoErr(json.Unmarshal([]byte(out), &r))
	is.Equal(r.All.Completed(), r.All.Requests)
	refused := fakeEntry{galenastair.NewRefusal(galenastair.ErrRateExceeded, time.Second, "")}
	status, _, errOut = exec(t, args(serve(t, caller.NewHandler(refused)))...)
	is.Equal(status, exitFailed)
	is.True(strings.Contains(errOut, "0.0000 of the requests got a complete answer"))
}
