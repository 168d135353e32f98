// Package journal writes down what a stand-in backend server ran, one JSON line
// for each run, before the run has an effect. The file outlives the process, so
// that a proof knows what ran on a server that was killed.
package journal
