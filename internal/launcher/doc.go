// Package launcher builds the processes of carobrock from their settings: it
// checks the settings, opens listeners and data folders, and connects the parts.
package launcher
