package operator

import (
	"crypto/subtle"
	"net/http"
	"strings"
)

// Tokens holds the bearer token of each role. If a token is empty, the role needs
// none.
type Tokens struct {
	// OperatorToken is the token for reading everything and for changing tables,
	// availability zones, tasks and replicas.
	OperatorToken string
	// WorkerToken is the token for announcements of workers.
	WorkerToken string
	// MonitoringToken is the token for submitting verdicts.
	MonitoringToken string
}

// isOperator, isWorker and isMonitoring report whether r may act in the role.
func (t *Tokens) isOperator(r *http.Request) bool   { return hasToken(t.OperatorToken, r) }
func (t *Tokens) isWorker(r *http.Request) bool     { return hasToken(t.WorkerToken, r) }
func (t *Tokens) isMonitoring(r *http.Request) bool { return hasToken(t.MonitoringToken, r) }

// hasToken reports whether r carries the bearer token want, or want is empty. The
// comparison takes constant time.
func hasToken(want string, r *http.Request) bool {
	if want == "" {
		return true
	}
	got := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	return subtle.ConstantTimeCompare([]byte(want), []byte(got)) == 1
}
