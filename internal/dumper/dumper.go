// Package dumper serves diagnostics of a running process on its operations
// listener: a dump of its state, its expvar metrics and its pprof profiles.
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

// Section is a named section of the dump.
type Section struct {
	// Name is the key of the section in the dump.
	Name string
	// State returns the content of the section, as a value that encoding/json can
	// encode. It may be called concurrently.
	State func() any
}

// Dumper serves the diagnostics of a process. Its fields must not change after
// the first use.
type Dumper struct {
	// Process is the kind of process, such as control or gateway.
	Process string
	// Version is the program's version.
	Version string
	// Started is the time at which the process started.
	Started time.Time
	// Sections are the sections of the dump.
	Sections []Section
}

// header is the section of the dump that is common to all kinds of process.
type header struct {
	Process      string `json:"process"`
	Version      string `json:"version"`
	UptimeMillis int64  `json:"uptimeMillis"`
	Goroutines   int    `json:"goroutines"`
	HeapBytes    uint64 `json:"heapBytes"`
	// CPUMicros is the CPU time used since the start, in microseconds.
	CPUMicros int64 `json:"cpuMicros"`
	// MaxResidentKB is the peak resident memory in KiB.
	MaxResidentKB int64 `json:"maxResidentKB"`
}

// setResourceUsage sets the fields that the kernel accounts for the process. They
// remain zero if it does not report them.
func (h *header) setResourceUsage() {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return
	}
	h.CPUMicros = (u.Utime.Nano() + u.Stime.Nano()) / int64(time.Microsecond)
	h.MaxResidentKB = u.Maxrss
}

// RegisterRoutes registers the handlers of the dump, the metrics and the
// profiles with a router.
func (d *Dumper) RegisterRoutes(r *httprouter.Router) {
	r.GET("/debug/dump", func(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) { d.writeDump(w) })
	r.Handler(http.MethodGet, "/debug/vars", expvar.Handler())
	r.HandlerFunc(http.MethodGet, "/debug/pprof/*profile", handleProfile)
}

// handleProfile serves the pprof profile that the path names.
func handleProfile(w http.ResponseWriter, r *http.Request) {
	switch httprouter.ParamsFromContext(r.Context()).ByName("profile") {
	case "/profile":
		pprof.Profile(w, r)
	case "/trace":
		pprof.Trace(w, r)
	default:
		pprof.Index(w, r)
	}
}

// writeDump writes the dump as indented JSON.
func (d *Dumper) writeDump(w http.ResponseWriter) {
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	h := header{
		Process: d.Process, Version: d.Version, UptimeMillis: time.Since(d.Started).Milliseconds(),
		Goroutines: runtime.NumGoroutine(), HeapBytes: mem.HeapAlloc,
	}
	h.setResourceUsage()
	out := map[string]any{"header": h}
	for _, p := range d.Sections {
		out[p.Name] = p.State()
	}
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(out) // fails only if the reader has gone
}
