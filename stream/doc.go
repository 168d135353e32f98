// Package stream keeps which service and software version began each stream. Backend servers of
// several versions serve side by side, and a stream may go on only at the version that began it, while
// its caller may resume it through any instance.
//
// An instance records a stream at its first event, and copies the record to a few recorders, which the
// leader names and which outlive the instance. An instance that does not know a stream asks the
// recorders. While a service has several versions, a recorder has the record before the caller has the
// event, and one of the recorders writes the records to a Journal in the store, from which recorders
// take them after all instances have ended.
//
// A stream that nobody knows goes on only if its service has had one version. The leader's VersionLog and
// the VersionViews of all instances keep which versions those are, so that no stream begins at a version
// that an instance which relies on its view does not know.
package stream
