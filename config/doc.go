// Package config turns the configuration stream of the platform's log into what
// every instance obeys: contracts, keys, and which of two racing changes won.
package config
