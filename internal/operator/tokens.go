package operator

import (
	"crypto/subtle"
	"net/http"
	"strings"
)

// Tokens holds the bearer token of each role. An empty token lets everybody act
// in the role.
type Tokens struct {
	// Operators may read everything and change tables, zones and tasks.
	Operators string
	// Workers may announce themselves.
	Workers string
	// Monitoring may give verdicts.
	Monitoring string
}

func (t *Tokens) operators(r *http.Request) bool  { return matches(t.Operators, r) }
func (t *Tokens) workers(r *http.Request) bool    { return matches(t.Workers, r) }
func (t *Tokens) monitoring(r *http.Request) bool { return matches(t.Monitoring, r) }

// matches compares in constant time.
func matches(want string, r *http.Request) bool {
	if want == "" {
		return true
	}
	got := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	return subtle.ConstantTimeCompare([]byte(want), []byte(got)) == 1
}
