package operator

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/julienschmidt/httprouter"
	"github.com/rs/zerolog"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/pkg/client"
)

// MaxBodyBytes limits the body of a request.
const MaxBodyBytes = 16 << 20

// Handler serves the API. Its fields must be set before use and not changed
// afterwards.
type Handler struct {
	// Control executes the requests.
	Control carobrock.Control
	// Tokens are the bearer tokens of the roles.
	Tokens Tokens
	// Logger receives log messages.
	Logger zerolog.Logger
}

// errorBody is the body of an error response.
type errorBody struct {
	Code  string `json:"code"`
	Error string `json:"error"`
	// Version is the current version of the table, set for the code "conflict".
	Version uint64 `json:"version,omitempty"`
}

// RegisterRoutes registers the handlers of the API with r.
func (h *Handler) RegisterRoutes(r *httprouter.Router) {
	operators, workers, monitoring := h.Tokens.isOperator, h.Tokens.isWorker, h.Tokens.isMonitoring
	r.PUT("/v1/tables/:table", h.requireToken(operators, h.putTable))
	r.GET("/v1/tables/:table", h.requireToken(operators, h.handleRead(func(p httprouter.Params) carobrock.Query {
		return carobrock.Query{Kind: p.ByName("table")}
	})))
	r.PUT("/v1/zones/:az", h.requireToken(operators, h.putZone))
	r.POST("/v1/tasks", h.requireToken(operators, h.submitTask))
	r.GET("/v1/tasks/:id", h.requireToken(operators, h.handleRead(func(p httprouter.Params) carobrock.Query {
		return carobrock.Query{Kind: "task", ID: p.ByName("id")}
	})))
	r.POST("/v1/cancel", h.requireToken(operators, h.cancelTasks))
	r.POST("/v1/replicas/:name/replace", h.requireToken(operators, h.replaceReplica))
	r.POST("/v1/announce", h.requireToken(workers, h.announce))
	r.POST("/v1/verdicts", h.requireToken(monitoring, h.putVerdicts))
	for _, kind := range []string{"zones", "tasks", "upstreams", "gateways", "grants", "replicas", "status"} {
		r.GET("/v1/"+kind, h.requireToken(operators, h.handleRead(func(httprouter.Params) carobrock.Query {
			return carobrock.Query{Kind: kind}
		})))
	}
	r.NotFound = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, http.StatusNotFound, errorBody{Code: "notFound", Error: "there is no such path"})
	})
}

// handlerFunc serves a request that carries the token of its role.
type handlerFunc func(w http.ResponseWriter, r *http.Request, p httprouter.Params)

// requireToken returns a handler that refuses requests without the token of the role,
// limits the body to MaxBodyBytes and calls next.
func (h *Handler) requireToken(allowed func(*http.Request) bool, next handlerFunc) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		if !allowed(r) {
			writeError(w, http.StatusUnauthorized, errorBody{Code: "unauthorized", Error: "the bearer token is missing or wrong"})
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, MaxBodyBytes)
		next(w, r, p)
	}
}

// handleRead returns a handler that responds with the result of a query.
func (h *Handler) handleRead(query func(p httprouter.Params) carobrock.Query) handlerFunc {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		data, err := h.Control.Read(r.Context(), query(p))
		if err != nil {
			h.writeControlError(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(data)
	}
}

// decodeBody decodes a JSON body and reports whether it is valid. Unknown fields and
// data after the first value are not. If the body is invalid, decodeBody writes the
// error response.
func decodeBody(w http.ResponseWriter, r *http.Request, value any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	err := d.Decode(value)
	if err == nil && d.More() {
		err = errors.New("there is more than one JSON value")
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return true
	case errors.As(err, &tooLarge):
		writeError(w, http.StatusRequestEntityTooLarge, errorBody{Code: "invalid", Error: "the body is too large"})
	case errors.Is(err, io.EOF):
		writeError(w, http.StatusBadRequest, errorBody{Code: "invalid", Error: "the body is empty"})
	default:
		writeError(w, http.StatusBadRequest, errorBody{Code: "invalid", Error: err.Error()})
	}
	return false
}

// writeJSON writes a response with value as its JSON body.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// writeError writes an error response.
func writeError(w http.ResponseWriter, status int, body errorBody) { writeJSON(w, status, body) }

// writeControlError writes the response for an error of Control.
func (h *Handler) writeControlError(w http.ResponseWriter, err error) {
	errorKinds := []struct {
		err    error
		status int
		code   string
	}{
		{carobrock.ErrNotFound, http.StatusNotFound, "notFound"},
		{carobrock.ErrRefused, http.StatusBadRequest, "invalid"},
		{carobrock.ErrNameTaken, http.StatusConflict, "nameTaken"},
		{carobrock.ErrNotApplied, http.StatusServiceUnavailable, "notDone"},
	}
	for _, k := range errorKinds {
		if errors.Is(err, k.err) {
			writeError(w, k.status, errorBody{Code: k.code, Error: err.Error()})
			return
		}
	}
	writeError(w, http.StatusServiceUnavailable, errorBody{Code: "undecided", Error: err.Error()})
}

// proposeCommand commits a command and writes the response for its result.
func (h *Handler) proposeCommand(w http.ResponseWriter, r *http.Request, c *carobrock.Command) {
	res, err := h.Control.Propose(r.Context(), c)
	if err != nil {
		h.writeControlError(w, err)
		return
	}
	switch res.Code {
	case "":
		writeJSON(w, http.StatusOK, res)
	case carobrock.CodeConflict:
		writeError(w, http.StatusConflict, errorBody{Code: "conflict", Error: res.Text, Version: res.Version})
	case carobrock.CodeNotFound:
		writeError(w, http.StatusNotFound, errorBody{Code: "notFound", Error: res.Text})
	default:
		writeError(w, http.StatusBadRequest, errorBody{Code: "invalid", Error: res.Text})
	}
}

// changeIDOrNew returns id, or a new change ID if id is empty. With a change ID, a
// change can be retried after a lost response without being applied twice.
func changeIDOrNew(id string) string {
	if id != "" {
		return id
	}
	return client.NewChangeID()
}
