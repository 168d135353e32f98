// Package explain reads the instances' logs and tells one request's way through them:
// its own lines in order of time, and what the instance that carried it had lost,
// regained or changed shortly before.
package explain
