// Package entry assembles one instance of the system: the adapters to the
// platform, backend servers, callers and other instances, the control loop and
// the decisions between them, in one run group that stops together.
package entry
