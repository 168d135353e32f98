// Package explain analyses the logs of the instances. A Trace holds the log lines of one
// request in chronological order, and the state changes of the instances that handled it
// shortly before. Audit, FailureReport and StoreCalls are summaries over all requests.
package explain
