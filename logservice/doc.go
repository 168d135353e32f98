// Package logservice speaks to the platform over HTTP: its append-only log, its
// lagging list of instances and its catalogue of weights.
//
// All bodies are JSON with Pascal-case names. Durations are whole nanoseconds in
// bodies and Go's notation ("2s") in queries; memory is in bytes.
//
//	POST   /streams/NAME/records               body: the record -> AppendAnswer
//	GET    /streams/NAME/records?from=N&wait=2s                 -> ReadAnswer
//	POST   /instances                          body: galenastair.ListedInstance
//	DELETE /instances/ID
//	GET    /instances                                           -> ListAnswer,
//	       or 304 where If-None-Match names the ETag of the present list
//	GET    /catalogue                                           -> CatalogueAnswer
//
// A POST to /instances registers and is also the heartbeat; an instance that
// sends none for a while drops off the list. Offsets of a stream start at 1.
//
// Errors of an append: a 4xx or a 503 is said before acting and maps to
// ErrAppendRefused, as does a request of which no byte was sent; all else maps
// to ErrAppendUnknown. Errors of a read: 410 maps to ErrExpired, all else to
// ErrLogUnavailable.
//
// Size: an instance polls its control stream by one long poll each 2 s when
// nothing happens (about 350 bytes with headers, 175 B/s), registers each second
// (about 400 B/s) and reads the list each second (about 300 bytes while it is
// unchanged; 150 bytes an instance when it changed, 50 KB at 330 instances a
// region, some 100 times a day or 60 B/s).
package logservice
