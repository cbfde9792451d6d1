package emulator

import (
	"encoding/hex"
	"encoding/json"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/carobrock/carobrock"
)

// echo is the service's answer.
type echo struct {
	Worker    string `json:"worker"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	RequestID string `json:"requestId"`
	BodyBytes int64  `json:"bodyBytes"`
	BodyCRC32 string `json:"bodyCrc32"`
	Run       int64  `json:"run"`
}

// serve answers a request after the service time.
func (w *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	if w.Faults.RefuseConnections.Load() {
		panic(http.ErrAbortHandler)
	}
	raise(&w.maxInFlight, w.inFlight.Add(1))
	defer w.inFlight.Add(-1)
	sum := crc32.NewIEEE()
	n, err := io.Copy(sum, r.Body)
	if err != nil {
		return
	}
	if w.ServiceTime > 0 {
		time.Sleep(w.ServiceTime)
	}
	id := r.Header.Get(carobrock.HeaderRequestID)
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set(carobrock.HeaderRequestID, id)
	_ = json.NewEncoder(rw).Encode(echo{
		Worker: w.Name, Method: r.Method, Path: r.URL.Path, RequestID: id,
		BodyBytes: n, BodyCRC32: hex.EncodeToString(sum.Sum(nil)), Run: w.served.Add(1),
	})
}

// raise lifts most to n if n is higher.
func raise(most *atomic.Int64, n int64) {
	for {
		old := most.Load()
		if n <= old || most.CompareAndSwap(old, n) {
			return
		}
	}
}

// countConn counts the open connections of the service.
func (w *Worker) countConn(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		raise(&w.maxOpen, w.open.Add(1))
	case http.StateClosed, http.StateHijacked:
		w.open.Add(-1)
	}
}

// Most returns the most requests and the most connections that the service had
// at a time.
func (w *Worker) Most() (requests, connections int64) {
	return w.maxInFlight.Load(), w.maxOpen.Load()
}
