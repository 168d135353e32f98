package engine

import (
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"

	"galenastair"
)

// bytesPerToken is the usual rough size of a token in English text.
const bytesPerToken = 4

var errUnreadable = eris.New("the body is no completion request")

// Request is what the engine reads of a completion request.
type Request struct {
	Model     galenastair.ModelName
	Prompt    string
	MaxTokens int
	Priority  int
	Stream    bool
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type requestBody struct {
	Model     galenastair.ModelName `json:"model"`
	Messages  []message             `json:"messages"`
	Prompt    string                `json:"prompt"`
	MaxTokens int                   `json:"max_tokens"`
	Priority  int                   `json:"priority"`
	Stream    bool                  `json:"stream"`
}

// ParseRequest reads a body; the prompt of a chat is its roles and contents, a line each.
func ParseRequest(body []byte, chat bool) (Request, error) {
	var b requestBody
	if err := json.Unmarshal(body, &b); err != nil {
		return Request{}, eris.Wrapf(errUnreadable, "%v", err)
	}
	if b.Model == "" || b.MaxTokens < 0 {
		return Request{}, eris.Wrap(errUnreadable, "no model, or a negative limit")
	}
	r := Request{
		Model:     b.Model,
		Prompt:    b.Prompt,
		MaxTokens: b.MaxTokens,
		Priority:  b.Priority,
		Stream:    b.Stream,
	}
	if chat {
		r.Prompt = chatPrompt(b.Messages)
	}
	return r, nil
}

func chatPrompt(messages []message) string {
	var prompt strings.Builder
	for _, m := range messages {
		prompt.WriteString(m.Role)
		prompt.WriteByte('\n')
		prompt.WriteString(m.Content)
		prompt.WriteByte('\n')
	}
	return prompt.String()
}

// PromptTokens returns how many tokens a prompt counts.
func PromptTokens(prompt string) galenastair.Tokens {
	return galenastair.Tokens((len(prompt) + bytesPerToken - 1) / bytesPerToken)
}
