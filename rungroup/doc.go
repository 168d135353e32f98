// Package rungroup adds the components of an instance to a run.Group, in which the end of one
// component stops all others.
package rungroup
