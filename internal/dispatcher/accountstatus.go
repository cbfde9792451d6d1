package dispatcher

import (
	"context"
	"slices"
	"time"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
)

// maxLogLines is the number of lines a second that are logged for one cause, so that a
// client cannot fill the log.
const maxLogLines = 5

// logLimiter limits the log lines of one cause.
type logLimiter struct {
	since      time.Time
	lines      int
	suppressed int
}

// admit reports whether a line may be logged, and counts it as suppressed otherwise.
func (l *logLimiter) admit(now time.Time) bool {
	if now.Sub(l.since) >= time.Second {
		l.since, l.lines = now, 0
	}
	if l.lines >= maxLogLines {
		l.suppressed++
		return false
	}
	l.lines++
	return true
}

// takeSuppressed returns the number of lines that were suppressed since the last call.
func (l *logLimiter) takeSuppressed() int {
	n := l.suppressed
	l.suppressed = 0
	return n
}

// Accounts implements carobrock.JobControl. The numbers of waiting tasks are those of
// the last placement round that considered all of them.
func (d *Dispatcher) Accounts(context.Context) (out []carobrock.AccountStatus, err error) {
	d.mu.Lock()
	d.StateMachine.View(func(s *bookkeeper.State) {
		if hasAccounts(s) {
			out = d.accountStatus(s)
		}
	})
	d.mu.Unlock()
	if err := d.ensureLeader(); err != nil {
		return nil, err
	}
	return out, nil
}

// accountStatus returns the status of each account. The configuration must list
// accounts. d.mu must be held.
func (d *Dispatcher) accountStatus(s *bookkeeper.State) []carobrock.AccountStatus {
	usage := d.usageByAccount(s)
	out := make([]carobrock.AccountStatus, len(usage))
	for i := range out {
		x := &out[i]
		if i < len(s.Configuration.Accounts) {
			a := &s.Configuration.Accounts[i]
			x.Name, x.Weight, x.Limit = a.Name, a.Weight, a.Limit
		} else {
			x.Weight = weightWithoutAccount
		}
		x.Usage, x.Runs = usage[i].Size, usage[i].Runs
		if i < len(d.accounts.waiting) {
			x.Waiting, x.Limited = d.accounts.waiting[i].total, d.accounts.waiting[i].limited
		}
	}
	for _, j := range s.Open {
		x := &out[d.accountIndex(s, j.Spec.Account)]
		if j.ExceedsRate {
			x.ExcessJobs++
		}
		if len(x.NeverFits) < carobrock.MaxListedJobs && slices.ContainsFunc(j.Spec.Steps, func(step carobrock.Step) bool { return neverFits(x.Limit, &step) }) {
			x.NeverFits = append(x.NeverFits, j.Spec.ID)
		}
	}
	return out
}
