// Package follow watches a keyed topic of the platform's metadata store: it lists the
// newest record of each key, then reads each change by long polling.
//
// It also tracks when the store last confirmed that the topic has no newer record. That
// time is taken before the call is sent, since the answer may describe any later moment.
// Cost: one long poll of about 300 bytes per poll timeout.
package follow
