package operator

import (
	"crypto/subtle"
	"net/http"
	"strings"
)

// Tokens holds the bearer token of each role. If a token is empty, the role needs
// none.
type Tokens struct {
	// Operators is the token for reading everything and for changing tables,
	// availability zones, tasks and replicas.
	Operators string
	// Workers is the token for announcements of workers.
	Workers string
	// Monitoring is the token for submitting verdicts.
	Monitoring string
}

// isOperator, isWorker and isMonitoring report whether r may act in the role.
func (t *Tokens) isOperator(r *http.Request) bool   { return hasToken(t.Operators, r) }
func (t *Tokens) isWorker(r *http.Request) bool     { return hasToken(t.Workers, r) }
func (t *Tokens) isMonitoring(r *http.Request) bool { return hasToken(t.Monitoring, r) }

// hasToken reports whether r carries the bearer token want, or want is empty. The
// comparison takes constant time.
func hasToken(want string, r *http.Request) bool {
	if want == "" {
		return true
	}
	got := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	return subtle.ConstantTimeCompare([]byte(want), []byte(got)) == 1
}
