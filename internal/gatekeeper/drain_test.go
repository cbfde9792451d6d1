package gatekeeper

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/carobrock/carobrock/internal/charter"
	"github.com/carobrock/carobrock/internal/watcher"
)

// Guards against a request that never ends keeping a stopping gateway alive.
func TestDrainIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &Gateway{Watcher: &watcher.Watcher{}, Logger: zerolog.Nop(), DrainDelay: -1}
		g.chart.Chart = charter.MustLoad("gateway.yaml")
		g.Watcher.Prepare()
		g.inFlight.Add(1)
		timer := time.AfterFunc(2*drainTimeout, func() {
			t.Error("the drain did not end")
			g.inFlight.Add(-1)
		})
		g.drain(&http.Server{}, make(chan struct{}))
		timer.Stop()
	})
}
