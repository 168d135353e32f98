package caller

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"galenastair"
)

// caseInsensitiveBody is a request body as parsed by an engine that matches field names
// case-insensitively.
type caseInsensitiveBody struct {
	Model               string          `json:"model"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
	BestOf              *int            `json:"best_of"`
	Stream              bool            `json:"stream"`
	Prompt              json.RawMessage `json:"prompt"`
}

// A body with "N" beside "n" must not be charged for one completion while the engine
// generates five, nor be admitted for one model and executed with another. This
// happens if field names are matched case-insensitively, as encoding/json does.
func TestAmbiguousBodyIsRejected(t *testing.T) {
	for _, extra := range []string{
		`"n":5,"N":1`, `"N":5`, `"n":5`, `"n":2,"n":null,"N":1`, `"best_of":4`, `"Model":"b"`, `"MODEL":"b"`, `"Prompt":"x"`,
		`"max_to\u212aens":9`, `"Max_Completion_Tokens":9`, `"PRIORITY":0`, `"max_tokens":0`, `"max_tokens":8193`, `"max_tokens":"1"`,
		`"max_completion_tokens":-1`, `"prompt":["a","b"]`, `"stream":"yes"`,
	} {
		t.Run(extra, func(t *testing.T) {
			is := is.New(t)
			_, err := readCompletion([]byte(`{"model":"a","prompt":"p",`+extra+`}`), false, DefaultLimits())
			is.True(errors.Is(err, galenastair.ErrBadRequest))
		})
	}
	for _, message := range []string{`{"content":"long","Content":""}`, `{"content":[{"type":"text","text":"long","Text":""}]}`, `{"content":5}`, `5`} {
		t.Run(message, func(t *testing.T) {
			is := is.New(t)
			_, err := readCompletion([]byte(`{"model":"a","messages":[`+message+`]}`), true, DefaultLimits())
			is.True(errors.Is(err, galenastair.ErrBadRequest))
		})
	}
}

// The body for the engine must contain max_tokens, also if the caller did not send it,
// and not max_completion_tokens.
func TestEngineBody(t *testing.T) {
	is := is.New(t)
	r, err := readCompletion([]byte(`{"model":"x","model":"a","messages":[{"role":"user","content":[{"type":"text","text":"he"},{"text":"llo"}]},{"role":"tool"}],"max_completion_tokens":9,"tools":[{"a":1}]}`), true, DefaultLimits())
	is.NoErr(err)
	is.Equal(r.model, galenastair.ModelName("a"))
	is.Equal(string(r.prompt), "user\nhello\ntool\n\n")
	is.Equal(r.outputTokens, galenastair.Tokens(9))
	is.Equal(string(r.engineBody), `{"max_tokens":9,"messages":[{"role":"user","content":[{"type":"text","text":"he"},{"text":"llo"}]},{"role":"tool"}],"model":"a","stream":true,"stream_options":{"include_usage":true},"tools":[{"a":1}]}`)
	r, err = readCompletion([]byte(`{"model":"a","prompt":"p"}`), false, DefaultLimits())
	is.NoErr(err)
	is.True(strings.Contains(string(r.engineBody), `"max_tokens":256`))
}

// For each accepted body, engines that match field names case-insensitively and
// engines that do not must run the admitted model and number of tokens. The seeds fail
// if checkFieldCase accepts everything.
func FuzzCompletionBody(f *testing.F) {
	f.Add([]byte(`{"model":"a","prompt":"p","n":5,"N":1}`), false)
	f.Add([]byte(`{"model":"a","Model":"b","messages":[{"role":"user","content":"x"}]}`), true)
	f.Add([]byte(`{"model":"a","prompt":"p","max_tokens":4,"max_to\u212aens":900}`), false)
	f.Add([]byte(`{"model":"a","messages":[{"content":[{"text":"x"}]}],"max_completion_tokens":3,"best_of":1}`), true)
	f.Fuzz(func(t *testing.T, raw []byte, chat bool) {
		r, err := readCompletion(raw, chat, DefaultLimits())
		if err != nil {
			if !errors.Is(err, galenastair.ErrBadRequest) {
				t.Fatalf("error is not ErrBadRequest: %v", err)
			}
			return
		}
		var anyCase caseInsensitiveBody
		if err := json.Unmarshal(r.engineBody, &anyCase); err != nil {
			t.Fatalf("%s: %v", r.engineBody, err)
		}
		var exact object
		if err := json.Unmarshal(r.engineBody, &exact); err != nil {
			t.Fatal(err)
		}
		var model string
		if err := json.Unmarshal(exact["model"], &model); err != nil {
			t.Fatal(err)
		}
		one := func(n *int) bool { return n == nil || *n == 1 }
		switch {
		case anyCase.Model != string(r.model), model != string(r.model):
			t.Fatalf("admitted for %q: %s", r.model, r.engineBody)
		case anyCase.MaxTokens == nil, *anyCase.MaxTokens != int64(r.outputTokens), anyCase.MaxCompletionTokens != nil:
			t.Fatalf("charged for %d: %s", r.outputTokens, r.engineBody)
		case !one(anyCase.N), !one(anyCase.BestOf), !anyCase.Stream:
			t.Fatalf("admitted for one completion: %s", r.engineBody)
		case r.outputTokens < 1, r.outputTokens > DefaultLimits().MaxOutputTokens:
			t.Fatalf("admitted for %d tokens", r.outputTokens)
		}
	})
}
