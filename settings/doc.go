// Package settings reads and checks the settings file of one instance. It is
// INI with names in Pascal case; unknown, doubled or unreadable entries are
// refused, with a stable code, the line and the accepted form, and nothing of
// the file is used.
package settings
