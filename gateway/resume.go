package gateway

import (
	"context"
	"time"

	"galenastair"
	"galenastair/catalog"
	"galenastair/stream"
)

// Streams knows where streams began.
type Streams interface {
	// Record keeps where a stream began, under the ID of the attempt that received its first event.
	Record(id galenastair.RequestID, o stream.Origin, timeLeft time.Duration)
	// Origin returns where a stream began that a caller resumes. The ID is empty if the caller has not
	// named the attempt.
	Origin(ctx context.Context, id galenastair.RequestID, s galenastair.ServiceName) (stream.Origin, error)
}

// resumeMargin is how much longer than its caller waits a stream is known.
const resumeMargin = 5 * time.Second

// resolveOrigin restricts a stream that the caller resumes to the service and software version that began
// it. The rest of another version would not fit what the caller has received.
func (r *activeRequest) resolveOrigin(ctx context.Context) error {
	if r.req.LastEventID == "" || !r.admission.route.Kind.Streamed() || r.streamVersion != nil {
		return nil
	}
	origin, err := r.g.streams.Origin(ctx, r.req.Resumes, r.service)
	if err != nil {
		return galenastair.NewRefusal(galenastair.ErrStreamUnknown, minRetryAfter, "")
	}
	if !r.admission.route.Allows(origin.Service) {
		return galenastair.NewRefusal(galenastair.ErrStreamUnknown, maxRetryAfter, "the route no longer has the service that began it")
	}
	r.service, r.streamVersion = origin.Service, &origin.Version
	if r.req.Resumes != "" {
		r.g.streams.Record(r.req.Resumes, origin, r.resumableFor())
	}
	return nil
}

// resumableFor returns for how long the caller may resume the stream.
func (r *activeRequest) resumableFor() time.Duration {
	return max(r.req.Timeout, r.timeout()) + resumeMargin
}

// fixVersion restricts the rest of the stream to the software version that sends its first event. The
// instance that a request is forwarded to does so for it.
func (r *activeRequest) fixVersion() {
	if r.streamVersion != nil || r.forwarded {
		return
	}
	v := r.serverVersion
	r.streamVersion = &v
	if r.admission.route.Kind == catalog.ResumableStream {
		r.g.streams.Record(r.req.ID, stream.Origin{Service: r.service, Version: v}, r.resumableFor())
	}
}
