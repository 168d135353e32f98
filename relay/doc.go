// Package relay is a TCP proxy that injects faults in tests. It can close connections,
// delay them, refuse new ones, or black-hole the open ones: these stay open but carry no
// more data, while new connections work, as happens when a load balancer or firewall has
// lost the state of a connection.
package relay
