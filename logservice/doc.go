// Package logservice is an HTTP client of the platform: its append-only log, its
// eventually consistent list of instances and its catalogue of weights.
//
// Except for records, bodies are JSON with field names in Pascal case. Durations are
// integers in nanoseconds in bodies, and in the format of time.Duration ("2s") in query
// parameters; memory is in bytes.
//
//	POST   /streams/NAME/records               body: the record -> AppendResponse
//	GET    /streams/NAME/records?from=N&wait=2s                 -> ReadResponse
//	POST   /instances                          body: galenastair.ListedInstance
//	DELETE /instances/ID
//	GET    /instances                                           -> ListResponse,
//	       or 304 if If-None-Match is the ETag of the current list
//	GET    /catalogue                                           -> CatalogueResponse
//	POST   /loads                              body: galenastair.ModelWeights
//
// A POST to /instances registers an instance and is its heartbeat as well; an instance
// without heartbeats for some time is removed from the list. Offsets of a stream start
// at 1.
//
// Errors of an append: the platform returns a 4xx status or 503 only if it has not
// appended the record. These map to ErrAppendRefused, as does a request of which no byte
// was sent; all other errors map to ErrAppendUnknown. Errors of a read: 410 maps to
// ErrExpired, all others to ErrLogUnavailable.
//
// Traffic: an idle instance sends a long poll of its control stream every 2 s (about
// 350 bytes with headers, 175 B/s), a heartbeat every second (about 400 B/s) and a
// request for the list every second (about 300 bytes if the list is unchanged). A
// changed list takes 150 bytes per instance, which is 50 KB in a region of 330
// instances, about 100 times a day or 60 B/s.
package logservice
