// Package dumper shows the inside of a running process: a dump of its state and
// its expvar metrics, on the operations listener.
package dumper

import (
	"encoding/json"
	"expvar"
	"net/http"
	"net/http/pprof"
	"runtime"
	"syscall"
	"time"

	"github.com/julienschmidt/httprouter"
)

// Part is a named part of the dump.
type Part struct {
	// Name is the part's name in the dump.
	Name string
	// State returns what to show, in a form that encoding/json can write.
	State func() any
}

// Dumper serves the dump. Its fields are set before use and not changed after.
type Dumper struct {
	// Process names the kind of process.
	Process string
	// Version is the program's version.
	Version string
	// Started is when the process started.
	Started time.Time
	// Parts are the parts of the dump.
	Parts []Part
}

// header is the part of the dump that every process has.
type header struct {
	Process      string `json:"process"`
	Version      string `json:"version"`
	UptimeMillis int64  `json:"uptimeMillis"`
	Goroutines   int    `json:"goroutines"`
	HeapBytes    uint64 `json:"heapBytes"`
	// CPUMicros is the processor time used so far.
	CPUMicros int64 `json:"cpuMicros"`
	// MaxResidentKB is the highest resident memory so far.
	MaxResidentKB int64 `json:"maxResidentKB"`
}

// addUsage adds what the kernel counted for the process.
func (h *header) addUsage() {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return
	}
	h.CPUMicros = (u.Utime.Nano() + u.Stime.Nano()) / int64(time.Microsecond)
	h.MaxResidentKB = u.Maxrss
}

// Routes adds the dump, the metrics and the profiles to a router.
func (d *Dumper) Routes(r *httprouter.Router) {
	r.GET("/debug/dump", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { d.write(w) })
	r.Handler(http.MethodGet, "/debug/vars", expvar.Handler())
	r.HandlerFunc(http.MethodGet, "/debug/pprof/*profile", profile)
}

func profile(w http.ResponseWriter, r *http.Request) {
	switch httprouter.ParamsFromContext(r.Context()).ByName("profile") {
	case "/profile":
		pprof.Profile(w, r)
	case "/trace":
		pprof.Trace(w, r)
	default:
		pprof.Index(w, r)
	}
}

func (d *Dumper) write(w http.ResponseWriter) {
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	h := header{
		Process: d.Process, Version: d.Version, UptimeMillis: time.Since(d.Started).Milliseconds(),
		Goroutines: runtime.NumGoroutine(), HeapBytes: mem.HeapAlloc,
	}
	h.addUsage()
	out := map[string]any{"header": h}
	for _, p := range d.Parts {
		out[p.Name] = p.State()
	}
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(out)
}
