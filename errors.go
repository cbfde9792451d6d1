package carobrock

import "github.com/rotisserie/eris"

// Errors of Control.
var (
	// ErrNotDone reports that the change was certainly not made.
	ErrNotDone = eris.New("carobrock: the control group cannot be reached; nothing was changed")
	// ErrUndecided reports that it is not known whether the change was made. Repeating it
	// with the same change ID is safe.
	ErrUndecided = eris.New("carobrock: it is not known whether the change was made")
	// ErrRefused reports that the request itself is wrong.
	ErrRefused = eris.New("carobrock: refused")
	// ErrNotFound reports that there is no such thing.
	ErrNotFound = eris.New("carobrock: not found")
	// ErrNameTaken reports that another worker holds the name under a live lease.
	ErrNameTaken = eris.New("carobrock: another worker announces this name")
)
