package carobrock

import (
	"time"

	"github.com/rotisserie/eris"
)

// Errors returned by Control and JobControl.
var (
	// ErrNotApplied reports that the change was not made.
	ErrNotApplied = eris.New("carobrock: the control group cannot be reached; nothing was changed")
	// ErrOutcomeUnknown reports that the outcome of the change is unknown. It is
	// safe to retry with the same change ID.
	ErrOutcomeUnknown = eris.New("carobrock: it is not known whether the change was made")
	// ErrRefused reports an invalid request.
	ErrRefused = eris.New("carobrock: refused")
	// ErrNotFound reports that the requested object does not exist.
	ErrNotFound = eris.New("carobrock: not found")
	// ErrVersionConflict reports that the object was changed after the version on
	// which the change is based. Nothing was changed.
	ErrVersionConflict = eris.New("carobrock: the object has a later version")
	// ErrNameTaken reports that another worker holds the name under an
	// unexpired lease.
	ErrNameTaken = eris.New("carobrock: another worker announces this name")
)

// OverloadError reports that a job was refused for lack of capacity. It matches
// ErrNotApplied.
type OverloadError struct {
	// RetryAfter is how long the caller should wait before it submits the job again.
	RetryAfter time.Duration
}

// Error implements error.
func (e *OverloadError) Error() string {
	return "carobrock: the job was refused for lack of capacity, retry after " + e.RetryAfter.String()
}

// Is reports whether target is ErrNotApplied.
func (e *OverloadError) Is(target error) bool { return target == ErrNotApplied }
