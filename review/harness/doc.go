// Command harness plays the scripted cases of this review. It starts galenastair gateways as separate
// processes and provides the stand-ins of the store, of the backend servers and of the clients.
package main
