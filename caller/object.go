package caller

import (
	"encoding/json"
	"strings"
)

// object is a JSON object read by the exact names of its fields; of a field that
// came twice the last counts.
//
// Failure: encoding/json takes "N" for "n" and engines do not. A body with both
// is charged for the one value and run with the other: its caller receives more
// than it is charged for. A name that differs by case alone is refused, and the
// engine gets the same fields as were read.
type object map[string]json.RawMessage

// completionNames are the fields that the system reads or sets.
var completionNames = []string{
	"model", "stream", "stream_options", "max_tokens", "max_completion_tokens",
	"n", "best_of", "prompt", "messages", "priority",
}

// spelled refuses names that differ from the given ones by case alone.
func (o object) spelled(names ...string) error {
	for name := range o {
		for _, known := range names {
			if name != known && strings.EqualFold(name, known) {
				return badRequest("the field %q must be written %q", name, known)
			}
		}
	}
	return nil
}

// read decodes a field; one that is not there leaves v as it is.
func (o object) read(name string, v any) error {
	raw, ok := o[name]
	if !ok {
		return nil
	}
	if err := json.Unmarshal(raw, v); err != nil {
		return badRequest("%s is not of its type: %v", name, err)
	}
	return nil
}

// completion reads the fields that the system needs.
func (o object) completion() (completionBody, error) {
	var b completionBody
	if err := o.spelled(completionNames...); err != nil {
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
		if err := o.read(name, v); err != nil {
			return b, err
		}
	}
	return b, nil
}
