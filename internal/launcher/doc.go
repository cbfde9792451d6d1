// Package launcher builds the processes of carobrock from their settings: it
// checks the settings, opens listeners and data directories, and connects the
// parts.
package launcher
