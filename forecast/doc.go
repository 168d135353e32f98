// Package forecast predicts the demand for each model and adapter from past requests. It
// opens no socket and starts no goroutine.
//
// Memory: about 100 bytes per model or adapter, 25 KB for a region with 250 models.
package forecast
