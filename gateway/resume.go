package gateway

import (
	"context"
	"time"

	"galenastair"
	"galenastair/catalog"
	"galenastair/pool"
	"galenastair/stream"
	"galenastair/timer"
)

// Streams knows where streams began.
type Streams interface {
	// Record keeps where a stream began, under the ID of the attempt that receives its first event. The
	// caller gets the event once Record has returned.
	Record(ctx context.Context, id galenastair.RequestID, o stream.Origin, timeLeft time.Duration)
	// Origin returns where a stream began that a caller resumes. The ID is empty if the caller has not
	// named the attempt.
	Origin(ctx context.Context, id galenastair.RequestID, s galenastair.ServiceName) (stream.Origin, error)
	// MayBegin reports whether a resumable stream may begin at a software version.
	MayBegin(s galenastair.ServiceName, v galenastair.SoftwareVersion) bool
	// VersionsChanged returns a channel that is closed when MayBegin may have changed.
	VersionsChanged() <-chan struct{}
}

// unknownStreamRetryAfter is the Retry-After of a stream of which it is not known where it began. In this
// time a leader is elected, and instances that have just started learn what the others know.
const unknownStreamRetryAfter = 600 * time.Millisecond

// resumeMargin is how much longer than its caller waits a stream is known.
const resumeMargin = 5 * time.Second

// maxVersionWait bounds how long a stream waits until streams may begin at a new software version. It is
// the time that the leader takes to list and to store the version.
const maxVersionWait = 3 * time.Second

// mayBegin returns the software versions at which the request may run, nil for all. Where a resumable
// stream began must be known to instances that start later.
func (r *activeRequest) mayBegin() func(galenastair.SoftwareVersion) bool {
	if r.admission.route.Kind != catalog.ResumableStream {
		return nil
	}
	return func(v galenastair.SoftwareVersion) bool { return r.g.streams.MayBegin(r.service, v) }
}

// awaitVersion waits until the list of software versions has changed.
func (r *activeRequest) awaitVersion(ctx context.Context, changed <-chan struct{}) error {
	now := r.g.clock.Now()
	if r.versionWaitEnd.IsZero() {
		r.versionWaitEnd = now.Add(min(maxVersionWait, r.deadline.Sub(now)/2))
	}
	if !timer.WaitFor(ctx, changed, r.versionWaitEnd.Sub(now)) {
		return galenastair.NewRefusal(galenastair.ErrNoBackendServer, noServerRetryAfter, pool.ReasonNewVersion)
	}
	return nil
}

// resolveOrigin restricts a stream that the caller resumes to the service and software version that began
// it. The rest of another version would not fit what the caller has received.
func (r *activeRequest) resolveOrigin(ctx context.Context) error {
	if r.req.LastEventID == "" || !r.admission.route.Kind.Streamed() || r.streamVersion != nil {
		return nil
	}
	origin, err := r.g.streams.Origin(ctx, r.req.Resumes, r.service)
	if err != nil {
		return galenastair.NewRefusal(galenastair.ErrStreamUnknown, unknownStreamRetryAfter, err.Error())
	}
	if !r.admission.route.Allows(origin.Service) {
		return galenastair.NewRefusal(galenastair.ErrStreamUnknown, maxRetryAfter, "the route no longer has the service that began it")
	}
	r.service, r.streamVersion = origin.Service, &origin.Version
	if r.req.Resumes != "" {
		r.g.streams.Record(ctx, r.req.Resumes, origin, r.resumableFor())
	}
	return nil
}

// resumableFor returns for how long the caller may resume the stream.
func (r *activeRequest) resumableFor() time.Duration {
	return max(r.req.Timeout, r.timeout()) + resumeMargin
}

// fixVersion restricts the rest of the stream to the software version that sends its first event. The
// instance that a request is forwarded to does so for it.
func (r *activeRequest) fixVersion(ctx context.Context) {
	if r.streamVersion != nil || r.forwarded {
		return
	}
	v := r.serverVersion
	r.streamVersion = &v
	if r.admission.route.Kind == catalog.ResumableStream {
		r.g.streams.Record(ctx, r.req.ID, stream.Origin{Service: r.service, Version: v}, r.resumableFor())
	}
}
