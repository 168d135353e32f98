// Package partition decides whether an instance is partitioned from all backend servers of a service.
// The decision comes from connections that the instance opens to a sample of them, as soon as attempts
// get no response: a single server that fails says nothing about the instance's own links.
package partition
