// Package galenastair defines the identifiers, units, errors and interfaces that
// the other packages share. The interfaces describe external systems, such as
// backend servers, the platform's log and its metadata store. Subpackages
// implement them and are named after the system or protocol that they access.
package galenastair
