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

// MaxBodyBytes bounds the body of a request.
const MaxBodyBytes = 16 << 20

// Handler serves the interface. Its fields are set before use and not changed
// after.
type Handler struct {
	// Control carries the requests out.
	Control carobrock.Control
	// Tokens limits who may do what.
	Tokens Tokens
	// Logger takes the log.
	Logger zerolog.Logger
}

// errorBody is the body of a refused request.
type errorBody struct {
	Code  string `json:"code"`
	Error string `json:"error"`
	// Version is the current version after a conflict.
	Version uint64 `json:"version,omitempty"`
}

// Routes adds the interface to a router.
func (h *Handler) Routes(r *httprouter.Router) {
	ops, workers, monitoring := h.Tokens.operators, h.Tokens.workers, h.Tokens.monitoring
	r.PUT("/v1/tables/:table", h.guard(ops, h.putTable))
	r.GET("/v1/tables/:table", h.guard(ops, h.get(func(p httprouter.Params) carobrock.Query {
		return carobrock.Query{What: p.ByName("table")}
	})))
	r.PUT("/v1/zones/:az", h.guard(ops, h.putZone))
	r.POST("/v1/tasks", h.guard(ops, h.submitTask))
	r.GET("/v1/tasks/:id", h.guard(ops, h.get(func(p httprouter.Params) carobrock.Query {
		return carobrock.Query{What: "task", ID: p.ByName("id")}
	})))
	r.POST("/v1/cancel", h.guard(ops, h.cancelTasks))
	r.POST("/v1/replicas/:name/replace", h.guard(ops, h.replaceReplica))
	r.POST("/v1/announce", h.guard(workers, h.announce))
	r.POST("/v1/verdicts", h.guard(monitoring, h.putVerdicts))
	for _, what := range []string{"zones", "tasks", "upstreams", "gateways", "grants", "replicas", "status"} {
		r.GET("/v1/"+what, h.guard(ops, h.get(func(httprouter.Params) carobrock.Query {
			return carobrock.Query{What: what}
		})))
	}
	r.NotFound = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		writeError(w, http.StatusNotFound, errorBody{Code: "notFound", Error: "there is no such path"})
	})
}

type handle func(w http.ResponseWriter, r *http.Request, p httprouter.Params)

// guard lets only requests through that carry the role's token.
func (h *Handler) guard(allowed func(*http.Request) bool, next handle) httprouter.Handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		if !allowed(r) {
			writeError(w, http.StatusUnauthorized, errorBody{Code: "unauthorized", Error: "the bearer token is missing or wrong"})
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, MaxBodyBytes)
		next(w, r, p)
	}
}

func (h *Handler) get(query func(p httprouter.Params) carobrock.Query) handle {
	return func(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
		data, err := h.Control.Read(r.Context(), query(p))
		if err != nil {
			h.fail(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(data)
	}
}

// decode reads a strict JSON body. It answers the request itself if the body is
// not valid.
func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	err := d.Decode(into)
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

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func writeError(w http.ResponseWriter, status int, body errorBody) { writeJSON(w, status, body) }

// fail answers with an error of Control.
func (h *Handler) fail(w http.ResponseWriter, err error) {
	kinds := []struct {
		err    error
		status int
		code   string
	}{
		{carobrock.ErrNotFound, http.StatusNotFound, "notFound"},
		{carobrock.ErrRefused, http.StatusBadRequest, "invalid"},
		{carobrock.ErrNameTaken, http.StatusConflict, "nameTaken"},
		{carobrock.ErrNotDone, http.StatusServiceUnavailable, "notDone"},
	}
	for _, k := range kinds {
		if errors.Is(err, k.err) {
			writeError(w, k.status, errorBody{Code: k.code, Error: err.Error()})
			return
		}
	}
	writeError(w, http.StatusServiceUnavailable, errorBody{Code: "undecided", Error: err.Error()})
}

// propose commits a command and answers with its result.
func (h *Handler) propose(w http.ResponseWriter, r *http.Request, c *carobrock.Command) {
	res, err := h.Control.Propose(r.Context(), c)
	if err != nil {
		h.fail(w, err)
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

// changeID returns the caller's change ID, or a new one: with it the processes
// between here and the leader can repeat the change after a lost answer.
func changeID(id string) string {
	if id != "" {
		return id
	}
	return client.NewChangeID()
}
