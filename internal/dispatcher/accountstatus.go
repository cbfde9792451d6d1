package dispatcher

import (
	"context"
	"slices"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
)

// Accounts implements carobrock.JobControl. The numbers of waiting tasks are those of
// the last placement round that considered all of them.
func (d *Dispatcher) Accounts(context.Context) (out []carobrock.AccountStatus, err error) {
	if err := d.ensureLeader(); err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	err = d.readState(func(s *bookkeeper.State) {
		if hasAccounts(s) {
			out = d.accountStatus(s)
		}
	})
	if err != nil {
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
