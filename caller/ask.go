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

// Question is one request as the command line and the tests send it.
type Question struct {
	Entry   string
	Key     string
	Model   galenastair.ModelName
	Service string
	// Method is POST unless given; it counts for services alone.
	Method string
	// Prompt asks for the completion of Text instead of a chat about it.
	Prompt         bool
	Text           string
	MaxTokens      galenastair.Tokens
	Stream         bool
	RequestID      galenastair.RequestID
	IdempotencyKey galenastair.IdempotencyKey
}

// Reply is how an entry answered a question.
type Reply struct {
	Status    int
	Outcome   galenastair.Outcome
	Code      galenastair.Code
	RequestID galenastair.RequestID
	// Whole says that the answer came with its end mark, or was not streamed.
	Whole bool
	Text  string
	Usage Usage
	// RetryAfter is the header of that name, in seconds; empty if there was none.
	RetryAfter string
}

// Usage is what an engine counted.
type Usage struct {
	PromptTokens     galenastair.Tokens `json:"prompt_tokens"`
	CompletionTokens galenastair.Tokens `json:"completion_tokens"`
}

type promptBody struct {
	Model         galenastair.ModelName `json:"model"`
	Stream        bool                  `json:"stream"`
	StreamOptions *streamOptions        `json:"stream_options,omitempty"`
	MaxTokens     galenastair.Tokens    `json:"max_tokens"`
	Prompt        string                `json:"prompt"`
}

type questionBody struct {
	Model         galenastair.ModelName `json:"model"`
	Stream        bool                  `json:"stream"`
	StreamOptions *streamOptions        `json:"stream_options,omitempty"`
	MaxTokens     galenastair.Tokens    `json:"max_tokens"`
	Messages      []questionMessage     `json:"messages"`
}

type questionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Ask sends one question and reads the answer to its end; an error means that no
// answer came at all.
func Ask(ctx context.Context, client *http.Client, q Question) (Reply, error) {
	req, err := q.request(ctx)
	if err != nil {
		return Reply{}, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return Reply{}, err
	}
	defer resp.Body.Close()
	r := Reply{
		Status:     resp.StatusCode,
		RequestID:  galenastair.RequestID(resp.Header.Get(headerRequestID)),
		RetryAfter: resp.Header.Get("Retry-After"),
	}
	if resp.StatusCode != http.StatusOK {
		return r, r.readError(resp.Body)
	}
	r.Outcome = galenastair.Ran
	switch {
	case q.Service != "":
		r.readText(resp.Body)
	case q.Stream:
		r.readStream(resp.Body)
	default:
		r.readPlain(resp.Body)
	}
	return r, nil
}

// target returns where the question goes and what it says.
func (q Question) target() (method, path string, body []byte, err error) {
	if q.Service != "" {
		method = http.MethodPost
		if q.Method != "" {
			method = q.Method
		}
		return method, "/services/" + q.Service, []byte(q.Text), nil
	}
	var options *streamOptions
	if q.Stream {
		options = &streamOptions{IncludeUsage: true}
	}
	if q.Prompt {
		body, err = json.Marshal(promptBody{q.Model, q.Stream, options, q.MaxTokens, q.Text})
		return http.MethodPost, "/v1/completions", body, err
	}
	body, err = json.Marshal(questionBody{q.Model, q.Stream, options, q.MaxTokens, []questionMessage{{"user", q.Text}}})
	return http.MethodPost, "/v1/chat/completions", body, err
}

func (q Question) request(ctx context.Context) (*http.Request, error) {
	method, path, body, err := q.target()
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+q.Entry+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	if q.Key != "" {
		req.Header.Set("Authorization", "Bearer "+q.Key)
	}
	if q.RequestID != "" {
		req.Header.Set(headerRequestID, string(q.RequestID))
	}
	if q.IdempotencyKey != "" {
		req.Header.Set(headerIdempotency, string(q.IdempotencyKey))
	}
	return req, nil
}

func (r *Reply) readError(body io.Reader) error {
	raw, err := io.ReadAll(body)
	if err != nil {
		return err
	}
	r.setError(raw)
	return nil
}

func (r *Reply) setError(raw []byte) {
	var e errorBody
	if json.Unmarshal(raw, &e) != nil || e.Error.Code == "" {
		r.Outcome = galenastair.Unknown
		r.Text = string(raw)
		return
	}
	r.Outcome, r.Code, r.Text = e.Error.Outcome, e.Error.Code, e.Error.Message
}

func (r *Reply) readText(body io.Reader) {
	raw, err := io.ReadAll(body)
	r.Text, r.Whole = string(raw), err == nil
}

func (r *Reply) readPlain(body io.Reader) {
	var a answerBody
	if err := json.NewDecoder(body).Decode(&a); err != nil || len(a.Choices) == 0 {
		r.Outcome = galenastair.Unknown
		return
	}
	_ = json.Unmarshal(a.Usage, &r.Usage)
	choice := a.Choices[0]
	switch {
	case choice.Message != nil:
		r.Text, r.Whole = choice.Message.Content, true
	case choice.Text != nil:
		r.Text, r.Whole = *choice.Text, true
	}
}

func (r *Reply) readStream(body io.Reader) {
	var text strings.Builder
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.Whole = true
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

var errEvent = eris.New("the answer was cut by an error event")

func (r *Reply) readEvent(data string, text *strings.Builder) error {
	var b chunkBody
	if err := json.Unmarshal([]byte(data), &b); err != nil || len(b.Choices) == 0 && strings.Contains(data, `"error"`) {
		r.setError([]byte(data))
		return errEvent
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
