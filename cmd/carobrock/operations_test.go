package main

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// Guards against profiles that take memory without a bound while a client reads slowly.
func TestOperationsServeBoundedProfilesOnly(t *testing.T) {
	h := boundedProfiles(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	for _, test := range []struct {
		target string
		want   int
	}{
		{"/debug/dump", http.StatusOK},
		{"/debug/pprof/heap", http.StatusOK},
		{"/debug/pprof/profile?seconds=30", http.StatusOK},
		{"/debug/pprof/profile?seconds=31", http.StatusForbidden},
		{"/debug/pprof/profile?seconds=NaN", http.StatusForbidden},
		{"/debug/pprof/trace?seconds=1", http.StatusForbidden},
		{"/debug/pprof/trace", http.StatusForbidden},
	} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, test.target, nil))
		if w.Code != test.want {
			t.Errorf("%s: status %d, want %d", test.target, w.Code, test.want)
		}
	}
}
