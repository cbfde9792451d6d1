package dispatcher

import (
	"context"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
)

// Accounts implements carobrock.JobControl.
func (d *Dispatcher) Accounts(context.Context) (out []carobrock.AccountStatus, err error) {
	err = d.readState(func(s *bookkeeper.State) {
		if s.Configuration == nil {
			return
		}
		for i := range s.Configuration.Accounts {
			a := &s.Configuration.Accounts[i]
			out = append(out, carobrock.AccountStatus{Name: a.Name, Weight: a.Weight, Limit: a.Limit})
		}
	})
	return out, err
}
