package caller

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"galenastair"
)

// errorBody is an OpenAI API error with additional fields.
type errorBody struct {
	Error errorObject `json:"error"`
}

type errorObject struct {
	Message    string                `json:"message"`
	Type       string                `json:"type"`
	Code       galenastair.Code      `json:"code"`
	Outcome    galenastair.Outcome   `json:"outcome"`
	RequestID  galenastair.RequestID `json:"request_id"`
	RetryAfter int                   `json:"retry_after,omitempty"`
}

// toRefusal converts any error to the form that is returned to callers.
func toRefusal(err error) *galenastair.Refusal {
	var r *galenastair.Refusal
	if errors.As(err, &r) {
		return r
	}
	if errors.Is(err, galenastair.ErrBadRequest) || errors.Is(err, galenastair.ErrTooLarge) || errors.Is(err, galenastair.ErrKeyMissing) || errors.Is(err, galenastair.ErrNotFound) {
		return galenastair.NewRefusal(err, 0, "")
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return &galenastair.Refusal{Cause: galenastair.ErrTimeout, Outcome: galenastair.OutcomeUnknown}
	}
	return &galenastair.Refusal{Cause: err, Outcome: galenastair.OutcomeUnknown}
}

// retrySeconds rounds up, so that a caller does not retry too early.
func retrySeconds(d time.Duration) int {
	return int(math.Ceil(d.Seconds()))
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusForbidden:
		return "permission_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

func encodeError(id galenastair.RequestID, r *galenastair.Refusal) []byte {
	body, err := json.Marshal(errorBody{errorObject{
		Message:    r.Error(),
		Type:       errorType(r.Status()),
		Code:       r.Code(),
		Outcome:    r.Outcome,
		RequestID:  id,
		RetryAfter: retrySeconds(r.RetryAfter),
	}})
	if err != nil {
		return []byte(`{"error":{"message":"internal error","type":"server_error","code":"Internal","outcome":"Unknown"}}`)
	}
	return body
}

func writeError(w http.ResponseWriter, id galenastair.RequestID, r *galenastair.Refusal) {
	w.Header().Set("Content-Type", "application/json")
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(retrySeconds(r.RetryAfter)))
	}
	w.WriteHeader(r.Status())
	_, _ = w.Write(encodeError(id, r))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
