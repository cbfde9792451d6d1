package allocator

import (
	"math"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/pacer"
)

// scoreTable computes the scores of the workers in one call of Place. The headroom that a
// filler uses is in proportion to its share of the processors, so it is derived once for
// each image and worker.
type scoreTable struct {
	allocator *Allocator
	workers   []*Worker
	// scores holds the score of each worker for the request that is being placed.
	scores []float64
	// headroom holds, by filler image and for each worker, pacer.HeadroomUse of a filler
	// that uses all processors, or unknownUse.
	headroom map[string][]float64
	// bounds holds, by class, what no worker exceeds. As Place only takes capacity and
	// headroom away, bounds stay valid during the call.
	bounds map[placementClass]*placementBound
}

// placementBound is an upper bound of what the workers offer to a class.
type placementBound struct {
	// free is the largest free capacity, in each component by itself.
	free carobrock.Capacity
	// fillerMilliCPU is the largest size, in thousandths of a core, of a filler that the
	// services of a worker bear at full speed.
	fillerMilliCPU float64
}

const unknownUse = -1.0

// boundReason returns why no worker can run a task of r, or "" if the bound of its class
// does not rule that out.
func (t *scoreTable) boundReason(r *Request) WaitReason {
	class := classOf(r)
	b := t.bounds[class]
	if b == nil {
		b = t.newBound(r)
		t.bounds[class] = b
	}
	switch {
	case !r.Step.Committed().Fits(b.free):
		return NoRoom
	case r.Step.Filler && float64(r.Step.Size.MilliCPU)*r.MinPaceFraction*boundTolerance > b.fillerMilliCPU:
		return Interference
	default:
		return ""
	}
}

// boundTolerance covers the rounding of products that differ in the order of their
// factors.
const boundTolerance = 1 - 1e-9

// newBound derives the bound of the class of r.
func (t *scoreTable) newBound(r *Request) *placementBound {
	b := &placementBound{}
	uses := t.headroomFor(r)
	for i, w := range t.workers {
		if w.Pool != r.Pool || w.IsIsolated {
			continue
		}
		b.free.MilliCPU, b.free.MemoryMB, b.free.Accelerators = max(b.free.MilliCPU, w.Free.MilliCPU), max(b.free.MemoryMB, w.Free.MemoryMB), max(b.free.Accelerators, w.Free.Accelerators)
		if !r.Step.Filler {
			continue
		}
		if use := t.headroomUse(r, i, uses); use > 0 {
			b.fillerMilliCPU = max(b.fillerMilliCPU, float64(max(1, w.Capacity.MilliCPU))/use)
		} else {
			b.fillerMilliCPU = math.Inf(1)
		}
	}
	return b
}

// headroomUse returns the headroom that a filler with the image of r uses on the i-th
// worker if it uses all processors. uses is headroomFor(r).
func (t *scoreTable) headroomUse(r *Request, i int, uses []float64) float64 {
	if uses[i] == unknownUse {
		uses[i] = pacer.HeadroomUse(t.allocator.Model, t.workers[i].Services, pacer.Filler{Image: r.Step.Image, Share: 1})
	}
	return uses[i]
}

// headroomFor returns the element of headroom for the image of r, nil unless r is a
// filler.
func (t *scoreTable) headroomFor(r *Request) []float64 {
	if !r.Step.Filler {
		return nil
	}
	uses := t.headroom[r.Step.Image]
	if uses == nil {
		uses = make([]float64, len(t.workers))
		for i := range uses {
			uses[i] = unknownUse
		}
		t.headroom[r.Step.Image] = uses
	}
	return uses
}

// score returns the score of the i-th worker, or ineligible if it must not get a task
// of r. uses is headroomFor(r).
func (t *scoreTable) score(r *Request, i int, uses []float64) float64 {
	w := t.workers[i]
	switch {
	case !Fits(r, w):
		return ineligible
	case !r.Step.Filler:
		return scoreWorker(r, w)
	}
	return scoreFiller(r, w, t.headroomUse(r, i, uses)*cpuShare(r.Step, w))
}

// forgetWorker makes the headroom of the i-th worker be derived again.
func (t *scoreTable) forgetWorker(i int) {
	for _, uses := range t.headroom {
		uses[i] = unknownUse
	}
}

// forgetHeadroom makes the headroom of all workers be derived again if r is a filler.
func (t *scoreTable) forgetHeadroom(r *Request) {
	if r.Step.Filler {
		clear(t.headroom)
	}
}
