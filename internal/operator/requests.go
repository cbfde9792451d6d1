package operator

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/carobrock/carobrock"
)

// tableRequest is the body of PUT /v1/tables/{table}.
type tableRequest struct {
	ChangeID    string            `json:"changeId"`
	BaseVersion uint64            `json:"baseVersion"`
	Routes      []carobrock.Route `json:"routes"`
	Pools       []carobrock.Pool  `json:"pools"`
}

// zoneRequest is the body of PUT /v1/zones/{az}.
type zoneRequest struct {
	ChangeID     string  `json:"changeId"`
	OutOfService *bool   `json:"outOfService"`
	BaseVersion  *uint64 `json:"baseVersion"`
}

// taskRequest is the body of POST /v1/tasks.
type taskRequest struct {
	Task carobrock.TaskSpec `json:"task"`
}

// cancelRequest is the body of POST /v1/cancel.
type cancelRequest struct {
	ChangeID string   `json:"changeId"`
	Tasks    []string `json:"tasks"`
}

// verdictsRequest is the body of POST /v1/verdicts.
type verdictsRequest struct {
	Verdicts []carobrock.Verdict `json:"verdicts"`
}

// replaceRequest is the body of POST /v1/replicas/{name}/replace.
type replaceRequest struct {
	Address string `json:"address"`
}

// writeInvalid writes a 400 response with the code "invalid".
func writeInvalid(w http.ResponseWriter, text string) {
	writeError(w, http.StatusBadRequest, errorBody{Code: "invalid", Error: text})
}

func (h *Handler) putTable(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	req := &tableRequest{}
	if !decodeBody(w, r, req) {
		return
	}
	table := carobrock.Table(p.ByName("table"))
	if table == carobrock.TableRoutes && req.Pools != nil || table == carobrock.TablePools && req.Routes != nil {
		writeInvalid(w, "the body holds the rows of the other table")
		return
	}
	h.proposeCommand(w, r, &carobrock.Command{ChangeID: changeIDOrNew(req.ChangeID), PutTable: &carobrock.PutTable{
		Table: table, BaseVersion: req.BaseVersion, Routes: req.Routes, Pools: req.Pools,
	}})
}

func (h *Handler) putZone(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	req := &zoneRequest{}
	if !decodeBody(w, r, req) {
		return
	}
	if req.OutOfService == nil {
		writeInvalid(w, "outOfService is missing")
		return
	}
	h.proposeCommand(w, r, &carobrock.Command{ChangeID: changeIDOrNew(req.ChangeID), PutZone: &carobrock.PutZone{
		Name: p.ByName("az"), OutOfService: *req.OutOfService, BaseVersion: req.BaseVersion,
	}})
}

func (h *Handler) submitTask(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	req := &taskRequest{}
	if !decodeBody(w, r, req) {
		return
	}
	h.proposeCommand(w, r, &carobrock.Command{SubmitTask: &carobrock.SubmitTask{Spec: req.Task}})
}

func (h *Handler) cancelTasks(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	req := &cancelRequest{}
	if !decodeBody(w, r, req) {
		return
	}
	changes := make([]carobrock.TaskChange, len(req.Tasks))
	for i, id := range req.Tasks {
		changes[i] = carobrock.TaskChange{ID: id, Event: carobrock.EventCancel, Reason: "cancelled by an operator"}
	}
	h.proposeCommand(w, r, &carobrock.Command{
		ChangeID: changeIDOrNew(req.ChangeID), TaskChanges: &carobrock.TaskChanges{Changes: changes},
	})
}

func (h *Handler) putVerdicts(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	req := &verdictsRequest{}
	if !decodeBody(w, r, req) {
		return
	}
	h.proposeCommand(w, r, &carobrock.Command{PutVerdicts: &carobrock.PutVerdicts{Verdicts: req.Verdicts}})
}

func (h *Handler) announce(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	a := &carobrock.Announcement{}
	if !decodeBody(w, r, a) {
		return
	}
	renewal, err := h.Control.Announce(r.Context(), a)
	if err != nil {
		h.writeControlError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, renewal)
}

func (h *Handler) replaceReplica(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	req := &replaceRequest{}
	if !decodeBody(w, r, req) {
		return
	}
	if err := h.Control.ReplaceReplica(r.Context(), p.ByName("name"), req.Address); err != nil {
		h.writeControlError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
