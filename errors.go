package carobrock

import "github.com/rotisserie/eris"

// Errors of Control.
var (
	// ErrNotDone: the change was certainly not made.
	ErrNotDone = eris.New("carobrock: the control group cannot be reached; nothing was changed")
	// ErrUndecided: it is not known whether the change was made. Repeating it
	// with the same change ID is safe.
	ErrUndecided = eris.New("carobrock: it is not known whether the change was made")
	// ErrRefused: the request itself is wrong.
	ErrRefused = eris.New("carobrock: refused")
	// ErrNotFound: there is no such thing.
	ErrNotFound = eris.New("carobrock: not found")
	// ErrNameTaken: another worker holds the name under a live lease.
	ErrNameTaken = eris.New("carobrock: another worker announces this name")
)
