package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/rotisserie/eris"

	"galenastair"
	"galenastair/request"
)

// headers that callers and the system exchange.
const (
	headerRequestID   = "X-Request-Id"
	headerIdempotency = "Idempotency-Key"
)

// maxIDLength bounds what a caller may name; longer names would fill logs and claims.
const maxIDLength = 200

// Server is what the handler asks to carry requests.
type Server interface {
	Complete(ctx context.Context, c request.Call, sink request.ResponseWriter) error
	CallService(ctx context.Context, c request.ServiceCall) (galenastair.ServiceAnswer, error)
	Models(key galenastair.KeyHash) ([]galenastair.ModelName, error)
}

// Handler serves callers.
type Handler struct {
	server Server
	limits Limits
	router *mux.Router
}

// Option changes how a handler is made.
type Option func(*Handler)

// WithLimits replaces the default limits.
func WithLimits(l Limits) Option { return func(h *Handler) { h.limits = l } }

// NewHandler returns the callers' HTTP handler. Paths are not cleaned: that is
// done by a redirect, after which clients send a POST as a GET without its body.
func NewHandler(s Server, opts ...Option) *Handler {
	h := &Handler{server: s, limits: DefaultLimits(), router: mux.NewRouter().UseEncodedPath().SkipClean(true)}
	for _, o := range opts {
		o(h)
	}
	h.router.Methods(http.MethodPost).Path("/v1/chat/completions").HandlerFunc(h.complete(true))
	h.router.Methods(http.MethodPost).Path("/v1/completions").HandlerFunc(h.complete(false))
	h.router.Methods(http.MethodGet).Path("/v1/models").HandlerFunc(h.models)
	h.router.PathPrefix("/services/{name}").HandlerFunc(h.service)
	h.router.NotFoundHandler = http.HandlerFunc(h.notFound)
	h.router.MethodNotAllowedHandler = h.router.NotFoundHandler
	return h
}

// ServeHTTP gives every answer its request id, then routes it.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := requestID(r)
	w.Header().Set(headerRequestID, string(id))
	h.router.ServeHTTP(w, r.WithContext(withRequestID(r.Context(), id)))
}

func (h *Handler) notFound(w http.ResponseWriter, r *http.Request) {
	h.refuse(w, r, eris.Wrap(galenastair.ErrNotFound, r.Method+" "+r.URL.Path))
}

func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, err error) {
	writeError(w, contextID(r.Context()), asRefusal(err))
}

// keyOf takes the key from the request; it is hashed at once and kept nowhere.
func keyOf(r *http.Request) (galenastair.KeyHash, error) {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	key = strings.TrimSpace(key)
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return "", eris.Wrap(galenastair.ErrKeyMissing, "send it as 'Authorization: Bearer KEY'")
	}
	return galenastair.HashKey(key), nil
}

func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.limits.BodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, eris.Wrapf(galenastair.ErrTooLarge, "body is over %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return nil, eris.Wrap(galenastair.ErrBadRequest, "body was cut")
	}
	return body, nil
}

func (h *Handler) complete(chat bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		call, body, err := h.readCall(w, r, chat)
		if err != nil {
			h.refuse(w, r, err)
			return
		}
		ctx, cancel := context.WithDeadline(r.Context(), call.Deadline)
		defer cancel()
		if body.stream {
			h.streamed(ctx, w, call, body.usage)
			return
		}
		h.plain(ctx, w, call)
	}
}

func (h *Handler) readCall(w http.ResponseWriter, r *http.Request, chat bool) (request.Call, completionRequest, error) {
	key, err := keyOf(r)
	if err != nil {
		return request.Call{}, completionRequest{}, err
	}
	idempotency, err := idempotencyKey(r)
	if err != nil {
		return request.Call{}, completionRequest{}, err
	}
	raw, err := h.readBody(w, r)
	if err != nil {
		return request.Call{}, completionRequest{}, err
	}
	body, err := readCompletion(raw, chat, h.limits)
	if err != nil {
		return request.Call{}, completionRequest{}, err
	}
	return request.Call{
		ID:             carriedID(contextID(r.Context())),
		Key:            key,
		IdempotencyKey: idempotency,
		Model:          body.model,
		Chat:           chat,
		Body:           body.engineBody,
		Prompt:         body.prompt,
		OutputTokens:   body.outputTokens,
		Deadline:       time.Now().Add(h.limits.Request),
	}, body, nil
}

func (h *Handler) streamed(ctx context.Context, w http.ResponseWriter, call request.Call, usage bool) {
	sink := newStreamWriter(w, usage)
	stop := h.pings(ctx, sink)
	err := h.server.Complete(ctx, call, sink)
	stop()
	if err == nil {
		return
	}
	if sink.fail(contextID(ctx), asRefusal(err)) {
		panic(http.ErrAbortHandler)
	}
}

// pings keeps a quiet stream from looking dead; the returned function ends it and waits.
func (h *Handler) pings(ctx context.Context, s *streamWriter) func() {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		tick := time.NewTicker(h.limits.Ping)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				s.ping(h.limits.Ping)
			case <-ctx.Done():
				return
			}
		}
	}()
	return func() {
		cancel()
		<-ended
	}
}

func (h *Handler) plain(ctx context.Context, w http.ResponseWriter, call request.Call) {
	sink := &collector{chat: call.Chat}
	err := h.server.Complete(ctx, call, sink)
	if err != nil {
		writeError(w, contextID(ctx), asRefusal(err))
		return
	}
	if !sink.ended {
		writeError(w, contextID(ctx), &galenastair.Refusal{Cause: galenastair.ErrAnswerCut, Outcome: galenastair.Ran})
		return
	}
	_ = sink.write(w)
}

func requestID(r *http.Request) galenastair.RequestID {
	if id := r.Header.Get(headerRequestID); validID(id) {
		return galenastair.RequestID(id)
	}
	return galenastair.RequestID(uuid.NewString())
}

func idempotencyKey(r *http.Request) (galenastair.IdempotencyKey, error) {
	key := r.Header.Get(headerIdempotency)
	if key != "" && !validID(key) {
		return "", badRequest("%s must be 1 to %d printable characters without spaces", headerIdempotency, maxIDLength)
	}
	return galenastair.IdempotencyKey(key), nil
}

// validID keeps line breaks and quotes out of logs and headers.
func validID(id string) bool {
	if id == "" || len(id) > maxIDLength {
		return false
	}
	for _, c := range id {
		if c <= ' ' || c > '~' || c == '"' {
			return false
		}
	}
	return true
}

type requestIDKey struct{}

func withRequestID(ctx context.Context, id galenastair.RequestID) context.Context {
	return context.WithValue(ctx, requestIDKey{}, id)
}

func contextID(ctx context.Context) galenastair.RequestID {
	id, _ := ctx.Value(requestIDKey{}).(galenastair.RequestID)
	return id
}
