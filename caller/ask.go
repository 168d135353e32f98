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
	Entry          string
	Key            string
	Model          galenastair.ModelName
	Service        string
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
	// RetryAfter is the header of that name, in seconds; empty if there was none.
	RetryAfter string
}

type questionBody struct {
	Model     galenastair.ModelName `json:"model"`
	Stream    bool                  `json:"stream"`
	MaxTokens galenastair.Tokens    `json:"max_tokens"`
	Messages  []questionMessage     `json:"messages"`
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

func (q Question) request(ctx context.Context) (*http.Request, error) {
	path, body := "/services/"+q.Service, []byte(q.Text)
	if q.Service == "" {
		path = "/v1/chat/completions"
		var err error
		body, err = json.Marshal(questionBody{q.Model, q.Stream, q.MaxTokens, []questionMessage{{"user", q.Text}}})
		if err != nil {
			return nil, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+q.Entry+path, bytes.NewReader(body))
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
	if err := json.NewDecoder(body).Decode(&a); err != nil || len(a.Choices) == 0 || a.Choices[0].Message == nil {
		r.Outcome = galenastair.Unknown
		return
	}
	r.Text, r.Whole = a.Choices[0].Message.Content, true
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
			return
		}
	}
	r.Text = text.String()
}

var errEvent = eris.New("the answer was cut by an error event")

func (r *Reply) readEvent(data string, text *strings.Builder) error {
	var b chunkBody
	if err := json.Unmarshal([]byte(data), &b); err != nil || len(b.Choices) == 0 && strings.Contains(data, `"error"`) {
		r.setError([]byte(data))
		return errEvent
	}
	for _, c := range b.Choices {
		text.WriteString(c.Delta.Content)
	}
	return nil
}
