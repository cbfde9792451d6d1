package main

import (
	"syscall"
	"testing"
	"time"
)

// Guards against a stop function that looks like a second signal.
func TestPlannedStopEndsWithStatusZero(t *testing.T) {
	for _, test := range []struct {
		name    string
		signals int
		want    bool // the channel of the second signal is closed
	}{
		{"no signal", 0, false},
		{"one signal", 1, false},
		{"two signals", 2, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			ctx, secondSignal, stop := notifySignals()
			for range test.signals {
				if err := syscall.Kill(syscall.Getpid(), syscall.SIGTERM); err != nil {
					t.Fatal(err)
				}
				<-ctx.Done()
			}
			if test.want {
				<-secondSignal
			}
			stop()
			select {
			case <-secondSignal:
				if !test.want {
					t.Error("the end of the process was reported as a second signal")
				}
			case <-time.After(50 * time.Millisecond):
				if test.want {
					t.Error("the second signal was not reported")
				}
			}
		})
	}
}
