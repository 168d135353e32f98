// Package stream keeps which service and software version began each stream. Backend servers of
// several versions serve side by side, and a stream may go on only at the version that began it, while
// its caller may resume it through any instance.
//
// An instance records a stream when its caller gets the first event, and copies the record to a few
// recorders, which the leader names and which outlive the instance. An instance that does not know a
// stream asks the recorders. It refuses to resume a stream that none of them knows, unless the service
// has only had one version.
package stream
