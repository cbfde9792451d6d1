// Package gatekeeper runs the components of a gateway process: the listeners for callers
// and operations, the watcher of the configuration, the forwarder and the drain at
// shutdown.
package gatekeeper
