package router

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/carobrock/carobrock"
)

// naiveMatch returns the name of the matching route by a linear search over all
// routes, or the empty string.
func naiveMatch(routes []carobrock.Route, host, path string) string {
	best := ""
	bestHasHost, bestPrefixLen := false, -1
	for _, r := range routes {
		if r.Host != "" && !strings.EqualFold(r.Host, host) || !strings.HasPrefix(path, r.PathPrefix) {
			continue
		}
		if hasHost := r.Host != ""; hasHost && !bestHasHost || hasHost == bestHasHost && len(r.PathPrefix) > bestPrefixLen {
			best, bestHasHost, bestPrefixLen = r.Name, hasHost, len(r.PathPrefix)
		}
	}
	return best
}

// TestMatch compares Match with naiveMatch on random tables.
func TestMatch(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 1))
	hosts := []string{"", "a.example", "B.example"}
	prefixes := []string{"/", "/x", "/x/", "/x/y", "/y/"}
	for range 500 {
		var routes []carobrock.Route
		seen := map[string]bool{}
		for i := range 1 + rnd.IntN(8) {
			r := carobrock.Route{Name: fmt.Sprint("r", i), Host: hosts[rnd.IntN(3)], PathPrefix: prefixes[rnd.IntN(5)], Pool: "p"}
			if key := r.Host + r.PathPrefix; !seen[key] {
				seen[key] = true
				routes = append(routes, r)
			}
		}
		table := New(routes)
		for _, host := range []string{"a.example", "A.EXAMPLE", "b.example", "c.example"} {
			for _, path := range []string{"/", "/x", "/x/y/z", "/y", "/y/z", "/z"} {
				got := ""
				if r, ok := table.Match(host+":8080", path); ok {
					got = r.Name
				}
				if want := naiveMatch(routes, host, path); got != want {
					t.Fatalf("%+v: %s%s goes to %q, want %q", routes, host, path, got, want)
				}
			}
		}
	}
}

func TestIsIdempotent(t *testing.T) {
	yes, no := true, false
	tests := []struct {
		method string
		route  *bool
		header string
		want   bool
	}{
		{"GET", nil, "", true},
		{"PUT", nil, "", true},
		{"DELETE", nil, "", true},
		{"POST", nil, "", false},
		{"PATCH", nil, "", false},
		{"NEW", nil, "", false},
		{"POST", &yes, "", true},
		{"GET", &no, "", false},
		{"POST", nil, "true", true},
		{"GET", nil, "false", false},
		{"POST", &yes, "false", false},
		{"POST", &no, "true", false},
		{"POST", nil, "maybe", false},
	}
	for _, tt := range tests {
		if got := IsIdempotent(tt.method, tt.route, tt.header); got != tt.want {
			t.Errorf("%s, route %v, header %q: %v, want %v", tt.method, tt.route, tt.header, got, tt.want)
		}
	}
}

func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var routes []carobrock.Route
			for i := range n {
				routes = append(routes, carobrock.Route{Name: fmt.Sprint(i), PathPrefix: fmt.Sprintf("/p%d/", i), Pool: "p"})
			}
			table := New(routes)
			for b.Loop() {
				table.Match("h", "/p7/x")
			}
		})
	}
}
