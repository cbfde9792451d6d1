package dispatcher

import (
	"testing"
	"time"
)

func TestChooseStartMode(t *testing.T) {
	for _, test := range []struct {
		name                string
		crashes, unresolved int
		waited              time.Duration
		want                startMode
	}{
		{name: "no crash", want: startNormally},
		{name: "one crash", crashes: 1, want: startNormally},
		{name: "one loss", unresolved: 1, waited: time.Hour, want: startNormally},
		{name: "two crashes", crashes: 2, want: startIsolated},
		{name: "a crash and a loss", crashes: 1, unresolved: 1, want: startIsolated},
		{name: "two crashes, no worker of its own", crashes: 2, waited: maxIsolationWait, want: startShared},
		{name: "three crashes, none in isolation", crashes: 3, waited: time.Hour, want: startIsolated},
		{name: "three losses", unresolved: 3, waited: unresolvedHold - 1, want: startHeld},
		{name: "three losses, after the hold", unresolved: 3, waited: unresolvedHold, want: startIsolated},
		{name: "two crashes and a loss", crashes: 2, unresolved: 1, want: startHeld},
		{name: "five losses", unresolved: 5, waited: 4*unresolvedHold - 1, want: startHeld},
		{name: "five losses, after the hold", unresolved: 5, waited: 4 * unresolvedHold, want: startIsolated},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := chooseStartMode(test.crashes, test.unresolved, test.waited); got != test.want {
				t.Errorf("start mode %d, want %d", got, test.want)
			}
		})
	}
}
