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

// serviceResponse is the body of the service's response: it describes the request
// as the service received it.
type serviceResponse struct {
	Worker    string `json:"worker"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	RequestID string `json:"requestId"`
	BodyBytes int64  `json:"bodyBytes"`
	BodyCRC32 string `json:"bodyCrc32"`
	Run       int64  `json:"run"`
}

// handleServiceRequest responds to a request after ServiceTime.
func (w *Worker) handleServiceRequest(rw http.ResponseWriter, r *http.Request) {
	if w.Faults.RefuseConnections.Load() {
		panic(http.ErrAbortHandler)
	}
	storeMax(&w.maxInFlight, w.inFlight.Add(1))
	defer w.inFlight.Add(-1)
	checksum := crc32.NewIEEE()
	n, err := io.Copy(checksum, r.Body)
	if err != nil {
		return
	}
	if w.ServiceTime > 0 {
		time.Sleep(w.ServiceTime)
	}
	id := r.Header.Get(carobrock.HeaderRequestID)
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set(carobrock.HeaderRequestID, id)
	_ = json.NewEncoder(rw).Encode(serviceResponse{
		Worker: w.Name, Method: r.Method, Path: r.URL.Path, RequestID: id,
		BodyBytes: n, BodyCRC32: hex.EncodeToString(checksum.Sum(nil)), Run: w.served.Add(1),
	}) // fails only if the caller has gone
}

// storeMax sets maximum to n if n is higher.
func storeMax(maximum *atomic.Int64, n int64) {
	for {
		old := maximum.Load()
		if n <= old || maximum.CompareAndSwap(old, n) {
			return
		}
	}
}

// trackConnection maintains the count of open service connections and its
// maximum. It is the ConnState hook of the service's server.
func (w *Worker) trackConnection(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		storeMax(&w.maxOpenConnections, w.openConnections.Add(1))
	case http.StateClosed, http.StateHijacked:
		w.openConnections.Add(-1)
	}
}

// MaxConcurrency returns the maximum numbers of concurrent requests and of open
// connections that the service has had.
func (w *Worker) MaxConcurrency() (requests, connections int64) {
	return w.maxInFlight.Load(), w.maxOpenConnections.Load()
}
