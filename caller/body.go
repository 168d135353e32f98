package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/rotisserie/eris"

	"galenastair"
)

// completionBody holds the fields of a request that the system itself reads;
// the others go to the engine as they came.
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

// completionRequest is a read and checked body.
type completionRequest struct {
	model        galenastair.ModelName
	stream       bool
	usage        bool
	prompt       []byte
	outputTokens galenastair.Tokens
	engineBody   []byte
}

// readCompletion checks a body and makes from it what the engine gets.
func readCompletion(raw []byte, chat bool, limits Limits) (completionRequest, error) {
	var fields object
	if err := json.Unmarshal(raw, &fields); err != nil {
		return completionRequest{}, badRequest("body is not the JSON of a completion: %v", err)
	}
	b, err := fields.completion()
	if err != nil {
		return completionRequest{}, err
	}
	if b.Model == "" {
		return completionRequest{}, badRequest("model is missing")
	}
	// the organisation is charged for one answer
	if b.N != nil && *b.N != 1 || b.BestOf != nil && *b.BestOf != 1 {
		return completionRequest{}, badRequest("n and best_of must be 1")
	}
	prompt, err := b.promptText(chat)
	if err != nil {
		return completionRequest{}, err
	}
	output, err := b.permittedOutput(limits)
	if err != nil {
		return completionRequest{}, err
	}
	engineBody, err := streamedBody(fields, output)
	if err != nil {
		return completionRequest{}, err
	}
	return completionRequest{
		model:        b.Model,
		stream:       b.Stream,
		usage:        b.StreamOptions.IncludeUsage,
		prompt:       prompt,
		outputTokens: output,
		engineBody:   engineBody,
	}, nil
}

func badRequest(format string, args ...any) error {
	return eris.Wrap(galenastair.ErrBadRequest, fmt.Sprintf(format, args...))
}

func (b completionBody) permittedOutput(limits Limits) (galenastair.Tokens, error) {
	asked := limits.DefaultOutput
	if b.MaxTokens != nil {
		asked = *b.MaxTokens
	}
	if b.MaxCompletionTokens != nil {
		asked = *b.MaxCompletionTokens
	}
	if asked < 1 || asked > limits.MaxOutput {
		return 0, badRequest("max_tokens must be from 1 to %d", limits.MaxOutput)
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
		if err := m.spelled("role", "content"); err != nil {
			return nil, err
		}
		var role string
		if err := m.read("role", &role); err != nil {
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

// contentText reads a message's content, which is a string, a list of parts, or nothing.
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
		if err := p.spelled("text"); err != nil {
			return "", err
		}
		var text string
		if err := p.read("text", &text); err != nil {
			return "", err
		}
		all.WriteString(text)
	}
	return all.String(), nil
}

// streamedBody asks the engine for a stream with its usage, also where the
// caller wants a plain answer: only a stream shows that it still makes
// progress, and can be resumed. The output limit is written out, since it is
// what the organisation was charged for.
func streamedBody(fields object, output galenastair.Tokens) ([]byte, error) {
	delete(fields, "max_completion_tokens")
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	fields["max_tokens"] = json.RawMessage(fmt.Sprint(output))
	return json.Marshal(fields)
}
