// Package rungroup adds the parts of an instance to the group in which they stop together.
package rungroup
