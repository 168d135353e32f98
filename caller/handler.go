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

// Headers of requests and responses.
const (
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
)

// maxIDLength bounds request IDs and idempotency keys, in bytes: they are written to
// logs and to the claims on idempotency keys.
const maxIDLength = 200

// Server processes the requests that the handler has validated.
type Server interface {
	Complete(ctx context.Context, c request.Call, sink request.ResponseWriter) error
	CallService(ctx context.Context, c request.ServiceCall) (galenastair.ServiceResponse, error)
	Models(key galenastair.KeyHash) ([]galenastair.ModelName, error)
}

// Handler is the HTTP handler of the callers' API.
type Handler struct {
	server Server
	limits Limits
	router *mux.Router
}

// Option configures a Handler.
type Option func(*Handler)

// WithLimits replaces the default limits.
func WithLimits(l Limits) Option { return func(h *Handler) { h.limits = l } }

// NewHandler returns a Handler for the given server. Path cleaning is disabled: the
// router cleans paths by a redirect, after which clients send a POST as a GET
// without its body.
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

// ServeHTTP sets the X-Request-Id of the response and routes the request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := requestID(r)
	w.Header().Set(headerRequestID, string(id))
	h.router.ServeHTTP(w, r.WithContext(withRequestID(r.Context(), id)))
}

func (h *Handler) notFound(w http.ResponseWriter, r *http.Request) {
	h.writeRefusal(w, r, eris.Wrap(galenastair.ErrNotFound, r.Method+" "+r.URL.Path))
}

func (h *Handler) writeRefusal(w http.ResponseWriter, r *http.Request, err error) {
	writeError(w, requestIDFrom(r.Context()), toRefusal(err))
}

// bearerKeyHash returns the hash of the bearer token; the key itself is not stored.
func bearerKeyHash(r *http.Request) (galenastair.KeyHash, error) {
	scheme, key, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	key = strings.TrimSpace(key)
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return "", eris.Wrap(galenastair.ErrKeyMissing, "send it as 'Authorization: Bearer KEY'")
	}
	return galenastair.HashKey(key), nil
}

func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.limits.MaxBodyBytes))
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
		call, body, err := h.readCompletionCall(w, r, chat)
		if err != nil {
			h.writeRefusal(w, r, err)
			return
		}
		ctx, cancel := context.WithDeadline(r.Context(), call.Deadline)
		defer cancel()
		if body.stream {
			h.serveStream(ctx, w, call, body.includeUsage)
			return
		}
		h.serveNonStreamed(ctx, w, call)
	}
}

func (h *Handler) readCompletionCall(w http.ResponseWriter, r *http.Request, chat bool) (request.Call, completionRequest, error) {
	key, err := bearerKeyHash(r)
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
		ID:             newInternalID(requestIDFrom(r.Context())),
		Key:            key,
		IdempotencyKey: idempotency,
		Model:          body.model,
		Chat:           chat,
		Body:           body.engineBody,
		Prompt:         body.prompt,
		OutputTokens:   body.outputTokens,
		Deadline:       time.Now().Add(h.limits.RequestTimeout),
	}, body, nil
}

func (h *Handler) serveStream(ctx context.Context, w http.ResponseWriter, call request.Call, includeUsage bool) {
	stream := newStreamWriter(w, includeUsage)
	stop := h.startPings(ctx, stream)
	err := h.server.Complete(ctx, call, stream)
	stop()
	if err == nil {
		return
	}
	if stream.writeFailure(requestIDFrom(ctx), toRefusal(err)) {
		panic(http.ErrAbortHandler)
	}
}

// startPings sends comments while the stream is idle, so that the connection is not
// taken for dead. The returned function stops this and waits until it has ended.
func (h *Handler) startPings(ctx context.Context, s *streamWriter) func() {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		ticker := time.NewTicker(h.limits.PingPeriod)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				s.ping(h.limits.PingPeriod)
			case <-ctx.Done():
				return
			}
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

func (h *Handler) serveNonStreamed(ctx context.Context, w http.ResponseWriter, call request.Call) {
	response := &collector{chat: call.Chat}
	err := h.server.Complete(ctx, call, response)
	if err != nil {
		writeError(w, requestIDFrom(ctx), toRefusal(err))
		return
	}
	if !response.done {
		writeError(w, requestIDFrom(ctx), &galenastair.Refusal{Cause: galenastair.ErrResponseTruncated, Outcome: galenastair.OutcomeRan})
		return
	}
	_ = response.write(w)
}

func requestID(r *http.Request) galenastair.RequestID {
	if id := r.Header.Get(headerRequestID); validID(id) {
		return galenastair.RequestID(id)
	}
	return galenastair.RequestID(uuid.NewString())
}

func idempotencyKey(r *http.Request) (galenastair.IdempotencyKey, error) {
	key := r.Header.Get(headerIdempotencyKey)
	if key != "" && !validID(key) {
		return "", badRequest("%s must be 1 to %d printable characters without spaces", headerIdempotencyKey, maxIDLength)
	}
	return galenastair.IdempotencyKey(key), nil
}

// validID reports whether an ID consists of 1 to maxIDLength printable ASCII
// characters without spaces and double quotes, so that it cannot break log lines or headers.
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

func requestIDFrom(ctx context.Context) galenastair.RequestID {
	id, _ := ctx.Value(requestIDKey{}).(galenastair.RequestID)
	return id
}
