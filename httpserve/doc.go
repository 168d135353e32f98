// Package httpserve serves HTTP so that a planned stop cuts no request: connections close
// between requests only, and what a stop has to end is answered.
package httpserve
