package engine

import (
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"

	"galenastair"
)

// bytesPerToken is the approximate size of a token of English text.
const bytesPerToken = 4

var errMalformedRequest = eris.New("the body is no completion request")

// Request holds the fields of a completion request that the engine uses.
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

// ParseRequest decodes a request body. The prompt of a chat completion is the role and
// the content of each message, each on a line of its own.
func ParseRequest(body []byte, chat bool) (Request, error) {
	var b requestBody
	if err := json.Unmarshal(body, &b); err != nil {
		return Request{}, eris.Wrapf(errMalformedRequest, "%v", err)
	}
	if b.Model == "" || b.MaxTokens < 0 {
		return Request{}, eris.Wrap(errMalformedRequest, "no model, or a negative limit")
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

// PromptTokens returns the number of tokens of a prompt.
func PromptTokens(prompt string) galenastair.Tokens {
	return galenastair.Tokens((len(prompt) + bytesPerToken - 1) / bytesPerToken)
}
