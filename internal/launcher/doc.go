// Package launcher builds the processes of carobrock from their settings: it
// checks the settings, opens listeners and data directories, and connects the
// components.
package launcher
