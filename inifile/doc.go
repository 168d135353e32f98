// Package inifile parses INI files according to a schema of sections and keys. It rejects
// what INI libraries accept or merge silently: unknown or duplicate sections and keys,
// quoted values, encodings other than UTF-8, and lines that are not entries. Each problem
// has a stable code, a line number and the accepted form.
package inifile
