// Package service is a fake of a plain service for tests. It accepts any method and path
// and echoes the request. It counts the executions of each call by X-Request-Id, and by
// the field "Call" of a JSON body, which identifies the call to the application (a bid,
// an acknowledgement).
//
//	GET       /control/calls  CallsResponse
//	GET, POST /switches       Faults; a POST changes only the fields in its body
package service
