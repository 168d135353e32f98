package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"galenastair"
)

// Request is a request to an entry instance, as the command line and the tests send it.
type Request struct {
	// Address is the host:port of the entry instance.
	Address string
	Key     string
	// Model is the model or adapter to use; ignored if Service is set.
	Model galenastair.ModelName
	// Service is the name of a plain service and the path after it.
	Service string
	// Method is the HTTP method of a request to a service; POST if empty.
	Method string
	// TextCompletion selects /v1/completions instead of /v1/chat/completions.
	TextCompletion bool
	Text           string
	MaxTokens      galenastair.Tokens
	Stream         bool
	RequestID      galenastair.RequestID
	IdempotencyKey galenastair.IdempotencyKey
}

// Response is the response of an entry instance.
type Response struct {
	Status    int
	Outcome   galenastair.Outcome
	Code      galenastair.Code
	RequestID galenastair.RequestID
	// Complete reports whether a successful response was received to its end; a streamed
	// one ends with "data: [DONE]".
	Complete bool
	Text     string
	Usage    Usage
	// RetryAfter is the Retry-After header, in seconds; empty if there was none.
	RetryAfter string
}

// Usage holds the token counts reported by the engine.
type Usage struct {
	PromptTokens     galenastair.Tokens `json:"prompt_tokens"`
	CompletionTokens galenastair.Tokens `json:"completion_tokens"`
}

type textCompletionBody struct {
	Model         galenastair.ModelName `json:"model"`
	Stream        bool                  `json:"stream"`
	StreamOptions *streamOptions        `json:"stream_options,omitempty"`
	MaxTokens     galenastair.Tokens    `json:"max_tokens"`
	Prompt        string                `json:"prompt"`
}

type chatBody struct {
	Model         galenastair.ModelName `json:"model"`
	Stream        bool                  `json:"stream"`
	StreamOptions *streamOptions        `json:"stream_options,omitempty"`
	MaxTokens     galenastair.Tokens    `json:"max_tokens"`
	Messages      []chatMessage         `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Send sends a request and reads the response to its end. It returns an error if
// the request failed before a response header was received, or if the body of an
// error response could not be read.
func Send(ctx context.Context, client *http.Client, request Request) (Response, error) {
	req, err := request.httpRequest(ctx)
	if err != nil {
		return Response{}, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return Response{}, err
	}
	defer resp.Body.Close()
	r := Response{
		Status:     resp.StatusCode,
		RequestID:  galenastair.RequestID(resp.Header.Get(headerRequestID)),
		RetryAfter: resp.Header.Get("Retry-After"),
	}
	if resp.StatusCode != http.StatusOK {
		return r, r.readError(resp.Body)
	}
	r.Outcome = galenastair.OutcomeRan
	switch {
	case request.Service != "":
		r.readText(resp.Body)
	case request.Stream:
		r.readStream(resp.Body)
	default:
		r.readNonStreamed(resp.Body)
	}
	return r, nil
}

// target returns the method, path and body of the HTTP request.
func (r Request) target() (method, path string, body []byte, err error) {
	if r.Service != "" {
		method = http.MethodPost
		if r.Method != "" {
			method = r.Method
		}
		return method, "/services/" + r.Service, []byte(r.Text), nil
	}
	var options *streamOptions
	if r.Stream {
		options = &streamOptions{IncludeUsage: true}
	}
	if r.TextCompletion {
		body, err = json.Marshal(textCompletionBody{r.Model, r.Stream, options, r.MaxTokens, r.Text})
		return http.MethodPost, "/v1/completions", body, err
	}
	body, err = json.Marshal(chatBody{r.Model, r.Stream, options, r.MaxTokens, []chatMessage{{"user", r.Text}}})
	return http.MethodPost, "/v1/chat/completions", body, err
}

func (r Request) httpRequest(ctx context.Context) (*http.Request, error) {
	method, path, body, err := r.target()
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	if r.Key != "" {
		req.Header.Set("Authorization", "Bearer "+r.Key)
	}
	if r.RequestID != "" {
		req.Header.Set(headerRequestID, string(r.RequestID))
	}
	if r.IdempotencyKey != "" {
		req.Header.Set(headerIdempotencyKey, string(r.IdempotencyKey))
	}
	return req, nil
}

func (r *Response) readError(body io.Reader) error {
	raw, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	r.setError(raw)
	return nil
}

func (r *Response) setError(raw []byte) {
	var e errorBody
	if json.Unmarshal(raw, &e) != nil || e.Error.Code == "" {
		r.Outcome = galenastair.OutcomeUnknown
		r.Text = string(raw)
		return
	}
	r.Outcome, r.Code, r.Text = e.Error.Outcome, e.Error.Code, e.Error.Message
}

func (r *Response) readText(body io.Reader) {
	raw, err := io.ReadAll(body)
	r.Text, r.Complete = string(raw), err == nil
}

func (r *Response) readNonStreamed(body io.Reader) {
	var a responseBody
	if err := json.NewDecoder(body).Decode(&a); err != nil || len(a.Choices) == 0 {
		r.Outcome = galenastair.OutcomeUnknown
		return
	}
	_ = json.Unmarshal(a.Usage, &r.Usage)
	choice := a.Choices[0]
	switch {
	case choice.Message != nil:
		r.Text, r.Complete = choice.Message.Content, true
	case choice.Text != nil:
		r.Text, r.Complete = *choice.Text, true
	}
}

func (r *Response) readStream(body io.Reader) {
	var text strings.Builder
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.Complete = true
			break
		}
		if err := r.readEvent(data, &text); err != nil {
			break
		}
	}
	if r.Code == "" {
		r.Text = text.String()
	}
}

var errErrorEvent = eris.New("response ended with an error event")

func (r *Response) readEvent(data string, text *strings.Builder) error {
	var b chunkBody
	if err := json.Unmarshal([]byte(data), &b); err != nil || len(b.Choices) == 0 && strings.Contains(data, `"error"`) {
		r.setError([]byte(data))
		return errErrorEvent
	}
	for _, c := range b.Choices {
		text.WriteString(c.Text)
		text.WriteString(c.Delta.Content)
	}
	if len(b.Usage) > 0 {
		_ = json.Unmarshal(b.Usage, &r.Usage)
	}
	return nil
}
