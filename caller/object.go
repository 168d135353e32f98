package caller

import (
	"encoding/json"
	"strings"
)

// object is a JSON object whose field names are matched case-sensitively; the last of
// duplicate fields applies.
//
// encoding/json accepts "N" for "n", but engines do not. A body with both would be
// charged for one value and executed with the other, so that the caller receives more
// than it is charged for. Names that differ from a known name only by case are
// therefore rejected, and the engine receives exactly the fields that were parsed.
type object map[string]json.RawMessage

// completionFields are the fields that this system reads or sets.
var completionFields = []string{
	"model", "stream", "stream_options", "max_tokens", "max_completion_tokens",
	"n", "best_of", "prompt", "messages", "priority",
}

// checkFieldCase returns an error if a field differs from one of names only by case.
func (o object) checkFieldCase(names ...string) error {
	for name := range o {
		for _, known := range names {
			if name != known && strings.EqualFold(name, known) {
				return badRequest("the field %q must be written %q", name, known)
			}
		}
	}
	return nil
}

// decodeField decodes a field into v; a missing field leaves v unchanged.
func (o object) decodeField(name string, v any) error {
	raw, ok := o[name]
	if !ok {
		return nil
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return badRequest("%s is not of its type: %v", name, err)
	}
	return nil
}

// decodeCompletion decodes the fields of a completion request.
func (o object) decodeCompletion() (completionBody, error) {
	var b completionBody
	if err := o.checkFieldCase(completionFields...); err != nil {
		return b, err
	}
	for name, v := range map[string]any{
		"model":                 &b.Model,
		"stream":                &b.Stream,
		"stream_options":        &b.StreamOptions,
		"max_tokens":            &b.MaxTokens,
		"max_completion_tokens": &b.MaxCompletionTokens,
		"n":                     &b.N,
		"best_of":               &b.BestOf,
		"prompt":                &b.Prompt,
		"messages":              &b.Messages,
	} {
		if err := o.decodeField(name, v); err != nil {
			return b, err
		}
	}
	return b, nil
}
