// Package router matches requests to routes and decides whether they may be
// retried.
//
// A Table is built once from the routes and is read-only afterwards, so that
// requests need no lock.
package router

import (
	"net"
	"sort"
	"strings"

	"github.com/carobrock/carobrock"
)

// Table matches requests to routes. It is safe for concurrent use.
type Table struct {
	// byHost holds the routes of each host in lower case, longest path prefix
	// first; the routes under the empty string match any host.
	byHost map[string][]carobrock.Route
}

// New returns a table of the routes, which must have passed
// carobrock.CheckRoutes.
func New(routes []carobrock.Route) *Table {
	t := &Table{byHost: map[string][]carobrock.Route{}}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, hostRoutes := range t.byHost {
		sort.SliceStable(hostRoutes, func(i, j int) bool { return len(hostRoutes[i].PathPrefix) > len(hostRoutes[j].PathPrefix) })
	}
	return t
}

// Match returns the route for a host and path, and false if there is none. A
// route for the host takes precedence over one for any host; among these, the
// longest path prefix wins. The port of the host is ignored.
func (t *Table) Match(host, path string) (*carobrock.Route, bool) {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	if r := matchPrefix(t.byHost[strings.ToLower(host)], path); r != nil {
		return r, true
	}
	r := matchPrefix(t.byHost[""], path)
	return r, r != nil
}

func matchPrefix(routes []carobrock.Route, path string) *carobrock.Route {
	for i := range routes {
		if strings.HasPrefix(path, routes[i].PathPrefix) {
			return &routes[i]
		}
	}
	return nil
}

// IsIdempotent reports whether a request may be retried (RFC 9110, section
// 9.2.2), according to its method, the route's setting and header, the value of
// the caller's Carobrock-Idempotent header. A header value other than "true" or
// "false" counts as not set. The setting and the header override the method; if
// they differ, the request may not be retried.
func IsIdempotent(method string, routeSetting *bool, header string) bool {
	if header == "false" || routeSetting != nil && !*routeSetting {
		return false
	}
	if header == "true" || routeSetting != nil && *routeSetting {
		return true
	}
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return true
	default:
		return false
	}
}
