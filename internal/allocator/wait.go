package allocator

// WaitReason is why a task waits. The values are names in metrics.
type WaitReason string

// Reasons that Place gives.
const (
	// BehindOthers means that the tasks before it used up the limit of the call.
	BehindOthers WaitReason = "behindOthers"
	// NoRoom means that no worker which meets the constraints has enough free capacity.
	NoRoom WaitReason = "noRoom"
	// Interference means that workers have the capacity for the filler, but it would slow
	// down their services too much.
	Interference WaitReason = "interference"
	// GangDoesNotFit means that the workers have no room for all tasks of the gang.
	GangDoesNotFit WaitReason = "gangDoesNotFit"
	// NoTicket means that no worker has an admission ticket for the step.
	NoTicket WaitReason = "noTicket"
	// AccountLimit means that the limit of the client account holds it back.
	AccountLimit WaitReason = "accountLimit"
	// AwaitsIsolation means that a suspect waits for a worker of its own.
	AwaitsIsolation WaitReason = "awaitsIsolation"
)

// unplacedReason returns why no worker is eligible for a task of r.
func unplacedReason(r *Request, workers []*Worker) WaitReason {
	if r.NeedsTicket && len(r.Tickets) == 0 {
		return NoTicket
	}
	if r.Step.Filler {
		for _, w := range workers {
			if Fits(r, w) {
				return Interference
			}
		}
	}
	return NoRoom
}
