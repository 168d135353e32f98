package caller

import (
	"encoding/json"
	"strings"
)

// mergedChoice is a choice of a response, merged from several events. It is a map
// because engines send fields unknown to this package, such as tool calls and
// refusals, and the response must contain them too.
type mergedChoice map[string]any

// textBuffer is a string that is built from several events. Concatenating strings
// would copy a long response once per token.
type textBuffer struct{ strings.Builder }

// MarshalText implements encoding.TextMarshaler.
func (t *textBuffer) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// replacedFields are the string fields that each event sends in full; other strings
// are concatenated.
var replacedFields = map[string]bool{"id": true, "index": true, "role": true, "type": true, "finish_reason": true}

// mergeObject merges the fields of an event into all, as client libraries of this API
// do: objects field by field, lists of objects by their index field; other lists and
// strings are concatenated.
func mergeObject(all, more map[string]any) map[string]any {
	if all == nil {
		all = make(map[string]any, len(more))
	}
	for name, v := range more {
		all[name] = mergeField(name, all[name], v)
	}
	return all
}

func mergeField(name string, known, v any) any {
	switch v := v.(type) {
	case nil:
		return known
	case string:
		return mergeText(name, known, v)
	case map[string]any:
		object, _ := known.(map[string]any)
		return mergeObject(object, v)
	case []any:
		list, _ := known.([]any)
		return mergeList(list, v)
	}
	return v
}

func mergeText(name string, known any, v string) any {
	if replacedFields[name] {
		if v == "" && known != nil {
			return known
		}
		return v
	}
	text, ok := known.(*textBuffer)
	if !ok {
		text = &textBuffer{}
	}
	text.WriteString(v)
	return text
}

func mergeList(list, more []any) []any {
	if list == nil {
		// An empty list must not be encoded as null.
		list = make([]any, 0, len(more))
	}
	for _, v := range more {
		object, ok := v.(map[string]any)
		if !ok {
			list = append(list, v)
			continue
		}
		if known := findIndex(list, object["index"]); known != nil {
			mergeObject(known, object)
			continue
		}
		list = append(list, mergeObject(nil, object))
	}
	return list
}

// findIndex returns the object in a list whose index field has the given value, or nil.
func findIndex(list []any, index any) map[string]any {
	n, ok := index.(json.Number)
	if !ok {
		return nil
	}
	for _, v := range list {
		if object, ok := v.(map[string]any); ok && object["index"] == n {
			return object
		}
	}
	return nil
}

// toCompletion converts a merged choice to the form of a non-streamed response.
func (c mergedChoice) toCompletion(chat bool) mergedChoice {
	if c == nil {
		c = mergedChoice{}
	}
	c["index"] = 0
	if _, ok := c["finish_reason"]; !ok {
		c["finish_reason"] = nil
	}
	if !chat {
		if c["text"] == nil {
			c["text"] = ""
		}
		return c
	}
	message, _ := c["delta"].(map[string]any)
	message = mergeObject(message, nil)
	if message["role"] == nil {
		message["role"] = "assistant"
	}
	if message["content"] == nil && message["tool_calls"] == nil && message["function_call"] == nil {
		message["content"] = ""
	}
	if _, ok := message["content"]; !ok {
		message["content"] = nil
	}
	delete(c, "delta")
	c["message"] = message
	return c
}
