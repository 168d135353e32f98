package galenastair

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Causes of a Refusal. Test for them with errors.Is. Callers receive their texts in the
// response body.
var (
	ErrKeyMissing          = eris.New("no key came with the request")
	ErrKeyUnknown          = eris.New("the key is not known")
	ErrKeyWithdrawn        = eris.New("the key has been withdrawn")
	ErrNotPermitted        = eris.New("the contract does not permit this model or service")
	ErrNotFound            = eris.New("no such model, service or path")
	ErrBadRequest          = eris.New("the request cannot be read")
	ErrTooLarge            = eris.New("the request is larger than the limit")
	ErrRateExceeded        = eris.New("the organisation is over its rate and burst")
	ErrExceedsBurst        = eris.New("the request alone is larger than the burst")
	ErrRateUnavailable     = eris.New("no holder of the organisation's rate can answer")
	ErrOverloaded          = eris.New("the request cannot be served in time")
	ErrNoBackendServer     = eris.New("no backend server is ready for this model or service")
	ErrStreamUnknown       = eris.New("the stream cannot be resumed here: its software version is not known")
	ErrNotMember           = eris.New("this instance holds no lease")
	ErrStopping            = eris.New("this instance is stopping")
	ErrDuplicate           = eris.New("a request with this idempotency key was already sent")
	ErrDuplicateInProgress = eris.New("a request with this idempotency key is still running")
	ErrClaimUnavailable    = eris.New("the claim for this idempotency key cannot be kept now")
	ErrPoisonRequest       = eris.New("this request stopped the backend servers that ran it")
	ErrBackendFailed       = eris.New("the backend server failed")
	ErrResponseTruncated   = eris.New("the answer was cut before its end")
	// ErrEndUnconfirmed comes with ErrResponseTruncated if the answer may be whole: it ended with its
	// connection, and the backend server was not seen to run after that.
	ErrEndUnconfirmed = eris.New("the end of the answer is not confirmed")
	// ErrServerEnded comes with ErrEndUnconfirmed if the backend server has ended since the answer began.
	ErrServerEnded     = eris.New("the backend server has ended")
	ErrTimeout         = eris.New("the request ran out of time")
	ErrNoConfiguration = eris.New("no configuration is in force yet")
)

// Code identifies a cause in responses to callers and is stable across versions.
type Code string

type causeInfo struct {
	cause  error
	code   Code
	status int
}

// causes maps each cause to its code and HTTP status.
var causes = []causeInfo{
	{ErrKeyMissing, "KeyMissing", http.StatusUnauthorized},
	{ErrKeyUnknown, "KeyUnknown", http.StatusUnauthorized},
	{ErrKeyWithdrawn, "KeyWithdrawn", http.StatusUnauthorized},
	{ErrNotPermitted, "NotPermitted", http.StatusForbidden},
	{ErrNotFound, "NotFound", http.StatusNotFound},
	{ErrBadRequest, "BadRequest", http.StatusBadRequest},
	{ErrTooLarge, "TooLarge", http.StatusRequestEntityTooLarge},
	{ErrRateExceeded, "RateExceeded", http.StatusTooManyRequests},
	{ErrExceedsBurst, "OverBurst", http.StatusBadRequest},
	{ErrRateUnavailable, "RateUnavailable", http.StatusServiceUnavailable},
	{ErrOverloaded, "Overloaded", http.StatusServiceUnavailable},
	{ErrNoBackendServer, "NoBackendServer", http.StatusServiceUnavailable},
	{ErrStreamUnknown, "StreamUnknown", http.StatusServiceUnavailable},
	{ErrNotMember, "NotMember", http.StatusServiceUnavailable},
	{ErrStopping, "Stopping", http.StatusServiceUnavailable},
	{ErrDuplicate, "Duplicate", http.StatusConflict},
	{ErrDuplicateInProgress, "DuplicateUnsettled", http.StatusConflict},
	{ErrClaimUnavailable, "ClaimUnavailable", http.StatusServiceUnavailable},
	{ErrPoisonRequest, "Poison", http.StatusUnprocessableEntity},
	{ErrBackendFailed, "BackendServer", http.StatusBadGateway},
	{ErrResponseTruncated, "AnswerCut", http.StatusBadGateway},
	{ErrTimeout, "Timeout", http.StatusGatewayTimeout},
	{ErrNoConfiguration, "NoConfiguration", http.StatusServiceUnavailable},
}

// Refusal is an error that is returned to the caller: its cause, whether the request has run, and
// when the caller may retry.
type Refusal struct {
	Cause      error
	Outcome    Outcome
	RetryAfter time.Duration
	Detail     string
}

// NewRefusal returns a Refusal of a request that has not run.
func NewRefusal(cause error, retryAfter time.Duration, detail string) *Refusal {
	return &Refusal{Cause: cause, Outcome: OutcomeNotRun, RetryAfter: retryAfter, Detail: detail}
}

// WithOutcome returns the refusal with the outcome that the request has reached. If a key is
// withdrawn during the response, for example, the request has run. OutcomeNotRun
// would make the caller send it again.
func (r *Refusal) WithOutcome(o Outcome) *Refusal {
	if r.Outcome != OutcomeNotRun || o == OutcomeNotRun {
		return r
	}
	refusal := *r
	refusal.Outcome = o
	return &refusal
}

// Error returns the cause and the detail.
func (r *Refusal) Error() string {
	if r.Detail == "" {
		return r.Cause.Error()
	}
	return fmt.Sprintf("%s: %s", r.Cause, r.Detail)
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Cause }

// Code returns the code of the cause.
func (r *Refusal) Code() Code { return r.info().code }

// Status returns the HTTP status of the cause.
func (r *Refusal) Status() int { return r.info().status }

func (r *Refusal) info() causeInfo {
	for _, info := range causes {
		if errors.Is(r.Cause, info.cause) {
			return info
		}
	}
	return causeInfo{r.Cause, "Internal", http.StatusInternalServerError}
}
