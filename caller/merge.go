package caller

import (
	"encoding/json"
	"strings"
)

// collectedChoice is a choice of an answer, or what several events said of it.
// It is a map since engines send fields that this system does not know, such as
// calls of tools and the reasons for a refusal, and an answer without them would
// not be whole.
type collectedChoice map[string]any

// longText is a string that grows by events: adding strings would copy a long
// answer once for each of its tokens.
type longText struct{ strings.Builder }

// MarshalText returns the text.
func (t *longText) MarshalText() ([]byte, error) { return []byte(t.String()), nil }

// replaced are the names whose value each event states whole; other strings of
// several events follow one another.
var replaced = map[string]bool{"id": true, "index": true, "role": true, "type": true, "finish_reason": true}

// merge adds what one more event says, as clients of this API do: objects field
// by field, lists of objects that have an index by that index, other lists and
// strings end to end.
func merge(all, more map[string]any) map[string]any {
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
		return merge(object, v)
	case []any:
		list, _ := known.([]any)
		return mergeList(list, v)
	}
	return v
}

func mergeText(name string, known any, v string) any {
	if replaced[name] {
		if v == "" && known != nil {
			return known
		}
		return v
	}
	text, ok := known.(*longText)
	if !ok {
		text = &longText{}
	}
	text.WriteString(v)
	return text
}

func mergeList(list, more []any) []any {
	if list == nil {
		// an empty list is not null
		list = make([]any, 0, len(more))
	}
	for _, v := range more {
		object, ok := v.(map[string]any)
		if !ok {
			list = append(list, v)
			continue
		}
		if known := findIndex(list, object["index"]); known != nil {
			merge(known, object)
			continue
		}
		list = append(list, merge(nil, object))
	}
	return list
}

// findIndex returns the object of a list that has the same index.
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

// whole gives a merged choice the form that it has in a plain answer.
func (c collectedChoice) whole(chat bool) collectedChoice {
	if c == nil {
		c = collectedChoice{}
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
	message = merge(message, nil)
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
