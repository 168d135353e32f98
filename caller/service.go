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

// forwardedHeaders returns the headers that are forwarded, without hop-by-hop headers,
// credentials and Content-Length.
func forwardedHeaders(h http.Header) http.Header {
	out := h.Clone()
	httpclient.RemoveNonForwardedHeaders(out)
	out.Del("Content-Length")
	return out
}

// removeKey removes every header that contains the key, whatever its name: some
// clients send the key in X-Api-Key too, and it must not reach a backend server.
func removeKey(h http.Header, r *http.Request) http.Header {
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
	key, err := bearerKeyHash(r)
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
		ServiceRequest: galenastair.ServiceRequest{
			ID:     newInternalID(requestIDFrom(r.Context())),
			Method: r.Method,
			Path:   strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+name),
			Query:  r.URL.RawQuery,
			Header: removeKey(forwardedHeaders(r.Header), r),
			Body:   body,
		},
		Service:        galenastair.ServiceName(name),
		Key:            key,
		IdempotencyKey: idempotency,
		Deadline:       time.Now().Add(h.limits.RequestTimeout),
	}, nil
}

func (h *Handler) service(w http.ResponseWriter, r *http.Request) {
	call, err := h.readServiceCall(w, r)
	if err != nil {
		h.writeRefusal(w, r, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), call.Deadline)
	defer cancel()
	answer, err := h.server.CallService(ctx, call)
	if err != nil {
		h.writeRefusal(w, r, err)
		return
	}
	defer answer.Body.Close()
	copyResponse(w, r, answer)
}

// copyResponse forwards the response of a service. If it is truncated, the connection
// is aborted, so that the caller does not take it for complete.
func copyResponse(w http.ResponseWriter, r *http.Request, answer galenastair.ServiceResponse) {
	for name, values := range forwardedHeaders(answer.Header) {
		if name == headerRequestID {
			continue
		}
		w.Header()[name] = values
	}
	if r.Method == http.MethodHead {
		// Content-Length is that of the response to a GET; no body follows.
		if answer.ContentLength >= 0 {
			w.Header().Set("Content-Length", strconv.FormatInt(answer.ContentLength, 10))
		}
		w.WriteHeader(answer.Status)
		return
	}
	w.WriteHeader(answer.Status)
	n, err := io.Copy(w, answer.Body)
	if err != nil || (answer.ContentLength >= 0 && n != answer.ContentLength) {
		panic(http.ErrAbortHandler)
	}
}

// modelList is the response to GET /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID     galenastair.ModelName `json:"id"`
	Object string                `json:"object"`
}

func (h *Handler) models(w http.ResponseWriter, r *http.Request) {
	key, err := bearerKeyHash(r)
	if err != nil {
		h.writeRefusal(w, r, err)
		return
	}
	names, err := h.server.Models(key)
	if err != nil {
		h.writeRefusal(w, r, err)
		return
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, n := range names {
		list.Data = append(list.Data, modelItem{n, "model"})
	}
	writeJSON(w, list)
}
