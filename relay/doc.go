// Package relay forwards TCP connections in tests and makes them fail: it cuts
// them, delays them, or keeps them open and silent for good while new ones work,
// as a balancer or firewall does that has lost track of them.
package relay
