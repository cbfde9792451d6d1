package messenger

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// TestMessenger runs all cases in one synctest bubble: yamux uses a
// process-wide pool of timers, and a timer must not be used in two bubbles. It is
// the first test of the package, as streams of other tests use the pool until
// streamCloseTimeout after their end.
func TestMessenger(t *testing.T) {
	emptyTimerPool()
	defer emptyTimerPool()
	synctest.Test(t, func(t *testing.T) {
		checkSilentConnection(t)
		checkCallErrors(t)
		checkResponseOrder(t)
		checkPanic(t)
		checkSilence(t)
		checkCallAfterCutShortConnect(t)
		checkLargeMessageOnSlowLink(t)
		checkSmallCallsBesideLargeResponses(t)
		checkAbandonedResponse(t)
		checkHeartbeatsBesideSnapshot(t)
	})
}

// emptyTimerPool removes the timers from the pool of yamux: two garbage collections empty
// a sync.Pool.
func emptyTimerPool() {
	runtime.GC()
	runtime.GC()
}
