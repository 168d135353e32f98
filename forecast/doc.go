// Package forecast foretells the demand for each model and adapter from what
// callers asked for so far. It opens no socket and starts no goroutine.
//
// Size: about 100 bytes for each model or adapter, 25 KB at 250 models of a region.
package forecast
