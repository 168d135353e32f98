// Package answer has the headers by which a stand-in of a backend server marks its answers.
package answer
