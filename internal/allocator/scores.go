package allocator

import "github.com/carobrock/carobrock/internal/pacer"

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
}

const unknownUse = -1.0

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
	if uses[i] == unknownUse {
		uses[i] = pacer.HeadroomUse(t.allocator.Model, w.Services, pacer.Filler{Image: r.Step.Image, Share: 1})
	}
	return scoreFiller(r, w, uses[i]*cpuShare(r.Step, w))
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
