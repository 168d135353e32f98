// Package sockbuf sets the sizes of the kernel's buffers of sockets.
package sockbuf
