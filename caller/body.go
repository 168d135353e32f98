package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"

	"galenastair"
)

// completionBody holds the fields of a completion request that this package reads.
// Other fields are forwarded to the engine unchanged.
type completionBody struct {
	Model               galenastair.ModelName
	Stream              bool
	StreamOptions       streamOptions
	MaxTokens           *galenastair.Tokens
	MaxCompletionTokens *galenastair.Tokens
	N                   *int
	BestOf              *int
	Prompt              json.RawMessage
	Messages            []object
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// completionRequest is a validated completion request.
type completionRequest struct {
	model        galenastair.ModelName
	stream       bool
	includeUsage bool
	prompt       []byte
	outputTokens galenastair.Tokens
	engineBody   []byte
}

// readCompletion parses and validates the body of a completion request and builds
// the body that is sent to the engine.
func readCompletion(raw []byte, chat bool, limits Limits) (completionRequest, error) {
	var fields object
	if err := json.Unmarshal(raw, &fields); err != nil {
		return completionRequest{}, badRequest("body is not the JSON of a completion: %v", err)
	}
	b, err := fields.decodeCompletion()
	if err != nil {
		return completionRequest{}, err
	}
	if b.Model == "" {
		return completionRequest{}, badRequest("model is missing")
	}
	// The organisation is charged for one completion only.
	if b.N != nil && *b.N != 1 || b.BestOf != nil && *b.BestOf != 1 {
		return completionRequest{}, badRequest("n and best_of must be 1")
	}
	prompt, err := b.promptText(chat)
	if err != nil {
		return completionRequest{}, err
	}
	output, err := b.outputLimit(limits)
	if err != nil {
		return completionRequest{}, err
	}
	engineBody, err := buildEngineBody(fields, output)
	if err != nil {
		return completionRequest{}, err
	}
	return completionRequest{
		model:        b.Model,
		stream:       b.Stream,
		includeUsage: b.StreamOptions.IncludeUsage,
		prompt:       prompt,
		outputTokens: output,
		engineBody:   engineBody,
	}, nil
}

func badRequest(format string, args ...any) error {
	return eris.Wrap(galenastair.ErrBadRequest, fmt.Sprintf(format, args...))
}

func (b completionBody) outputLimit(limits Limits) (galenastair.Tokens, error) {
	asked := limits.DefaultOutputTokens
	if b.MaxTokens != nil {
		asked = *b.MaxTokens
	}
	if b.MaxCompletionTokens != nil {
		asked = *b.MaxCompletionTokens
	}
	if asked < 1 || asked > limits.MaxOutputTokens {
		return 0, badRequest("max_tokens must be from 1 to %d", limits.MaxOutputTokens)
	}
	return asked, nil
}

func (b completionBody) promptText(chat bool) ([]byte, error) {
	if chat {
		return chatText(b.Messages)
	}
	var text string
	if err := json.Unmarshal(b.Prompt, &text); err != nil {
		return nil, badRequest("prompt must be one string")
	}
	return []byte(text), nil
}

func chatText(messages []object) ([]byte, error) {
	if len(messages) == 0 {
		return nil, badRequest("messages is missing or empty")
	}
	var text bytes.Buffer
	for i, m := range messages {
		if err := m.checkFieldCase("role", "content"); err != nil {
			return nil, err
		}
		var role string
		if err := m.decodeField("role", &role); err != nil {
			return nil, err
		}
		content, err := contentText(m["content"])
		if err != nil {
			return nil, badRequest("messages[%d].content must be a string or a list of parts", i)
		}
		text.WriteString(role)
		text.WriteByte('\n')
		text.WriteString(content)
		text.WriteByte('\n')
	}
	return text.Bytes(), nil
}

// contentText returns the text of a message's content, which is a string, a list of
// content parts, null or missing.
func contentText(raw json.RawMessage) (string, error) {
	if len(raw) == 0 || bytes.Equal(raw, []byte("null")) {
		return "", nil
	}
	var text string
	if json.Unmarshal(raw, &text) == nil {
		return text, nil
	}
	var parts []object
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", err
	}
	var all strings.Builder
	for _, p := range parts {
		if err := p.checkFieldCase("text"); err != nil {
			return "", err
		}
		var text string
		if err := p.decodeField("text", &text); err != nil {
			return "", err
		}
		all.WriteString(text)
	}
	return all.String(), nil
}

// buildEngineBody returns the body of the request to the engine. It always requests a
// stream with usage, even if the caller did not: only a stream shows that the engine
// is still making progress, and only a stream can be resumed. max_tokens is always
// set, so that the engine generates no more than was charged to the organisation.
func buildEngineBody(fields object, output galenastair.Tokens) ([]byte, error) {
	delete(fields, "max_completion_tokens")
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	fields["max_tokens"] = json.RawMessage(fmt.Sprint(output))
	return json.Marshal(fields)
}
