package caller

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"galenastair"
	"galenastair/httpclient"
	"galenastair/request"
)

// passedHeaders returns what goes on from one connection to another.
func passedHeaders(h http.Header) http.Header {
	out := h.Clone()
	httpclient.RemoveNonForwardedHeaders(out)
	out.Del("Content-Length")
	return out
}

// withoutKey takes out every header that has the key in it, also one of another
// name: some clients send their key in X-Api-Key besides, and no backend server
// may see it.
func withoutKey(h http.Header, r *http.Request) http.Header {
	_, key, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	key = strings.TrimSpace(key)
	for name, values := range h {
		if slices.ContainsFunc(values, func(v string) bool { return strings.Contains(v, key) }) {
			h.Del(name)
		}
	}
	return h
}

func (h *Handler) readServiceCall(w http.ResponseWriter, r *http.Request) (request.ServiceCall, error) {
	key, err := keyOf(r)
	if err != nil {
		return request.ServiceCall{}, err
	}
	idempotency, err := idempotencyKey(r)
	if err != nil {
		return request.ServiceCall{}, err
	}
	body, err := h.readBody(w, r)
	if err != nil {
		return request.ServiceCall{}, err
	}
	name := mux.Vars(r)["name"]
	return request.ServiceCall{
		ServiceCall: galenastair.ServiceCall{
			ID:     carriedID(contextID(r.Context())),
			Method: r.Method,
			Path:   strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+name),
			Query:  r.URL.RawQuery,
			Header: withoutKey(passedHeaders(r.Header), r),
			Body:   body,
		},
		Service:        galenastair.ServiceName(name),
		Key:            key,
		IdempotencyKey: idempotency,
		Deadline:       time.Now().Add(h.limits.Request),
	}, nil
}

func (h *Handler) service(w http.ResponseWriter, r *http.Request) {
	call, err := h.readServiceCall(w, r)
	if err != nil {
		h.refuse(w, r, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), call.Deadline)
	defer cancel()
	answer, err := h.server.CallService(ctx, call)
	if err != nil {
		h.refuse(w, r, err)
		return
	}
	defer answer.Body.Close()
	copyAnswer(w, r, answer)
}

// copyAnswer passes on a service's answer; if it is cut half way the connection
// is broken, so that it does not look whole.
func copyAnswer(w http.ResponseWriter, r *http.Request, answer galenastair.ServiceAnswer) {
	for name, values := range passedHeaders(answer.Header) {
		if name == headerRequestID {
			continue
		}
		w.Header()[name] = values
	}
	if r.Method == http.MethodHead {
		// its length is that of the answer to a GET; no body follows
		if answer.Length >= 0 {
			w.Header().Set("Content-Length", strconv.FormatInt(answer.Length, 10))
		}
		w.WriteHeader(answer.Status)
		return
	}
	w.WriteHeader(answer.Status)
	n, err := io.Copy(w, answer.Body)
	if err != nil || (answer.Length >= 0 && n != answer.Length) {
		panic(http.ErrAbortHandler)
	}
}

// modelList is the form of GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     galenastair.ModelName `json:"id"`
	Object string                `json:"object"`
}

func (h *Handler) models(w http.ResponseWriter, r *http.Request) {
	key, err := keyOf(r)
	if err != nil {
		h.refuse(w, r, err)
		return
	}
	names, err := h.server.Models(key)
	if err != nil {
		h.refuse(w, r, err)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, n := range names {
		list.Data = append(list.Data, modelItem{n, "model"})
	}
	writeJSON(w, list)
}
