// Package launcher builds the processes of carobrock from their settings: it
// checks the settings, opens listeners and data folders, and joins the parts.
package launcher
