package client_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/pkg/client"
)

// newFakeProcess returns a server with fixed responses that takes the place of a
// carobrock process in the examples.
func newFakeProcess() *httptest.Server {
	return httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodGet:
			fmt.Fprint(w, `{"version": 3, "rows": []}`)
		case strings.HasPrefix(r.URL.Path, "/v1/tables/"):
			fmt.Fprint(w, `{"index": 42, "version": 4}`)
		default:
			fmt.Fprint(w, `{"index": 43}`)
		}
	}))
}

func ExampleClient_PutRoutes() {
	process := newFakeProcess()
	defer process.Close()
	c := &client.Client{Addresses: []string{process.Listener.Addr().String()}}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	base, err := c.TableVersion(ctx, carobrock.TableRoutes)
	if err != nil {
		fmt.Println(err)
		return
	}
	// The client sends the change ID with each retry, so that a change whose
	// response was lost is not applied twice.
	res, err := c.PutRoutes(ctx, client.NewChangeID(), base, []carobrock.Route{
		{Name: "logbook", PathPrefix: "/logbook/", Pool: "logbook"},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println("version", res.Version)
	// Output: version 4
}

func ExampleClient_SubmitTask() {
	process := newFakeProcess()
	defer process.Close()
	c := &client.Client{Addresses: []string{process.Listener.Addr().String()}}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()

	err := c.SubmitTask(ctx, &carobrock.TaskSpec{
		ID: "settlement-2026-12-04", Pool: "settlement", Kind: "reconcile",
		Size: carobrock.Capacity{MilliCPU: 2000, MemoryMB: 4096},
	})
	fmt.Println("error:", err)
	// Output: error: <nil>
}
