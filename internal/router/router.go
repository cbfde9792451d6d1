// Package router finds the route of a request and the upstreams of a pool.
//
// A Table is made from the tables once and then only read, so that requests
// need no lock.
package router

import (
	"net"
	"sort"
	"strings"

	"github.com/carobrock/carobrock"
)

// Table finds routes. It is safe for concurrent use.
type Table struct {
	// byHost holds the routes of each host, longest prefix first; the empty
	// host holds those for any host.
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
	for _, rows := range t.byHost {
		sort.SliceStable(rows, func(i, j int) bool { return len(rows[i].PathPrefix) > len(rows[j].PathPrefix) })
	}
	return t
}

// Match returns the route for a host and path, and false if there is none. A
// route for the host goes before one for any host; the longest prefix wins. The
// port of the host does not count.
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

func matchPrefix(rows []carobrock.Route, path string) *carobrock.Route {
	for i := range rows {
		if strings.HasPrefix(path, rows[i].PathPrefix) {
			return &rows[i]
		}
	}
	return nil
}

// IsIdempotent reports whether a request may be repeated: RFC 9110, section
// 9.2.2, by its method, the route's setting, or the caller's header; the
// strictest of the last two wins, and either overrides the method.
func IsIdempotent(method string, route *bool, header string) bool {
	if header == "false" || route != nil && !*route {
		return false
	}
	if header == "true" || route != nil && *route {
		return true
	}
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return true
	default:
		return false
	}
}
