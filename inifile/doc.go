// Package inifile reads INI files whose sections and keys are known beforehand.
// It refuses what an INI library lets pass or merges silently: unknown and
// doubled sections and keys, quotes, other encodings, lines that are no entry.
// Each problem has a stable code, a line and the accepted form.
package inifile
