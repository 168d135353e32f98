// Package entry assembles one instance of the system: the clients and servers for
// the platform, backend servers, callers and other instances, the control loop, and
// request handling. All components run in one run group and stop together.
package entry
