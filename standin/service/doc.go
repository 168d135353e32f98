// Package service stands in for a plain service in tests. It answers any method
// and path, echoes the body, and counts how often each call ran, by its
// X-Request-Id and by the field "Call" of a JSON body, which names what the call
// means to the application (a bid, an acknowledgement).
//
//	GET       /control/calls  CallsAnswer
//	GET, POST /switches       Switches; a POST changes only the fields it names
package service
