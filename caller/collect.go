package caller

import (
	"bytes"
	"encoding/json"
	"net/http"

	"github.com/rotisserie/eris"

	"galenastair"
)

// chunkBody holds the fields of a streamed event that Send reads.
type chunkBody struct {
	Choices []chunkChoice   `json:"choices"`
	Usage   json.RawMessage `json:"usage"`
}

type chunkChoice struct {
	Text  string          `json:"text"`
	Delta responseMessage `json:"delta"`
}

type responseMessage struct {
	Content string `json:"content"`
}

// responseBody holds the fields of a non-streamed response that Send reads.
type responseBody struct {
	Choices []responseChoice `json:"choices"`
	Usage   json.RawMessage  `json:"usage"`
}

type responseChoice struct {
	Text    *string          `json:"text"`
	Message *responseMessage `json:"message"`
}

// completionChunk holds the fields of a streamed event that the collector reads.
type completionChunk struct {
	ID                string                `json:"id"`
	Created           int64                 `json:"created"`
	Model             galenastair.ModelName `json:"model"`
	SystemFingerprint json.RawMessage       `json:"system_fingerprint"`
	Choices           []mergedChoice        `json:"choices"`
	Usage             json.RawMessage       `json:"usage"`
	Error             json.RawMessage       `json:"error"`
}

// completionResponse is the non-streamed response that the collector builds from
// the events.
type completionResponse struct {
	ID                string                `json:"id"`
	Object            string                `json:"object"`
	Created           int64                 `json:"created"`
	Model             galenastair.ModelName `json:"model"`
	SystemFingerprint json.RawMessage       `json:"system_fingerprint,omitempty"`
	Choices           []mergedChoice        `json:"choices"`
	Usage             json.RawMessage       `json:"usage,omitempty"`
}

// errEngineEvent is returned when an engine sends an error event.
var errEngineEvent = eris.New("the engine ended the answer with an error event")

// collector merges the events of an engine's stream into one response, for callers
// that did not request a stream. Nothing is sent before the final event, so a
// truncated stream results in an error response.
type collector struct {
	chat     bool
	response completionResponse
	choice   mergedChoice
	done     bool
}

// WriteChunk merges one event into the response.
func (c *collector) WriteChunk(chunk galenastair.Chunk) error {
	if chunk.End {
		c.done = true
		return nil
	}
	var b completionChunk
	d := json.NewDecoder(bytes.NewReader(chunk.Data))
	// Numbers that float64 cannot represent must be preserved.
	d.UseNumber()
	if err := d.Decode(&b); err != nil {
		return eris.Wrap(err, "chunk of an answer")
	}
	if present(b.Error) {
		return errEngineEvent
	}
	c.response.ID, c.response.Created, c.response.Model = b.ID, b.Created, b.Model
	if present(b.SystemFingerprint) {
		c.response.SystemFingerprint = b.SystemFingerprint
	}
	if present(b.Usage) {
		c.response.Usage = b.Usage
	}
	for _, choice := range b.Choices {
		c.choice = mergeObject(c.choice, choice)
	}
	return nil
}

// present reports whether a field is neither missing nor null.
func present(raw json.RawMessage) bool { return len(raw) > 0 && string(raw) != "null" }

func (c *collector) write(w http.ResponseWriter) error {
	c.response.Object = "text_completion"
	if c.chat {
		c.response.Object = "chat.completion"
	}
	c.response.Choices = []mergedChoice{c.choice.toCompletion(c.chat)}
	body, err := json.Marshal(c.response)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	_, err = w.Write(body)
	return err
}
