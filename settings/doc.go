// Package settings parses and validates the settings file of one instance, an INI
// file with keys in Pascal case. Unknown, duplicate and invalid entries are
// reported with a stable code, the line and the accepted form, and a file with
// any such entry is rejected as a whole.
package settings
