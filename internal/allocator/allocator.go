package allocator

import (
	"cmp"
	"math"
	"slices"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/pacer"
)

// Allocator assigns tasks to workers.
type Allocator struct {
	// Model predicts how much load fillers add to services. The allocator only reads
	// it.
	Model *pacer.Model
}

// Place returns assignments for requests, which are served in the given order,
// and updates the free and spare capacity and the service loads of the workers.
// It assigns at most limit tasks, except that a gang is assigned as a whole and
// may exceed limit. No assignment exceeds the room of the request's client account.
// Tasks for which there is none are counted in the request.
func (a *Allocator) Place(requests []Request, workers []*Worker, limit int) []carobrock.TaskAssignment {
	var out []carobrock.TaskAssignment
	var allAwaited []*Worker
	defer func() { setIsolated(allAwaited, false) }()
	unplaceable := map[placementClass][]*Request{}
	scores := &scoreTable{allocator: a, workers: workers, scores: make([]float64, len(workers)), headroom: map[string][]float64{}, bounds: map[placementClass]*placementBound{}}
	for i := range requests {
		r := &requests[i]
		r.HeldCount, r.PlacedCount, r.WaitReason = 0, 0, BehindOthers
		if len(out) >= limit {
			continue
		}
		placed, awaited := a.placeRequest(r, scores, unplaceable, limit-len(out))
		r.PlacedCount = len(placed)
		out = append(out, placed...)
		if r.Reserved != nil && !r.Reserved.IsIsolated && len(placed) == 0 {
			awaited = append(awaited, r.Reserved)
		}
		setIsolated(awaited, true)
		allAwaited = append(allAwaited, awaited...)
	}
	return out
}

// placeRequest returns assignments for the tasks of a request, at most limit, and the
// workers that are to be kept free of the tasks of later requests.
func (a *Allocator) placeRequest(r *Request, scores *scoreTable, unplaceable map[placementClass][]*Request, limit int) (placed []carobrock.TaskAssignment, awaited []*Worker) {
	if !r.hasRoomFor(r.minCount()) {
		r.HeldCount, r.WaitReason = len(r.Indices), AccountLimit
		return nil, nil
	}
	if other := knownUnplaceable(unplaceable, r); other != nil {
		r.WaitReason = other.WaitReason
		return nil, nil
	}
	if reason := scores.boundReason(r); reason != "" && !r.IsIsolated {
		r.WaitReason = reason
		return nil, nil
	}
	switch {
	case r.IsIsolated:
		r.WaitReason = AwaitsIsolation
		placed, awaited = a.placeIsolated(r, scores.workers)
		scores.forgetHeadroom(r)
		return placed, awaited
	case r.Step.Gang:
		r.WaitReason = GangDoesNotFit
		placed = a.placeGang(r, scores.workers)
		scores.forgetHeadroom(r)
		return placed, nil
	}
	placed = a.placeIndividually(r, scores, limit)
	switch {
	// Tasks that are held back by the limit of their account say nothing about the
	// workers, which may have capacity for other accounts.
	case r.HeldCount > 0:
		r.WaitReason = AccountLimit
	case len(placed) < len(r.Indices) && len(placed) < limit:
		r.WaitReason = unplacedReason(r, scores.workers)
		if isUnconstrained(r) {
			unplaceable[classOf(r)] = append(unplaceable[classOf(r)], r)
		}
	}
	return placed, nil
}

// placementClass is what the eligibility of workers for a request depends on, apart
// from its size and constraints. Only fillers depend on their image.
type placementClass struct {
	pool   string
	filler bool
	image  string
}

func classOf(r *Request) placementClass {
	if r.Step.Filler {
		return placementClass{r.Pool, true, r.Step.Image}
	}
	return placementClass{pool: r.Pool}
}

// isUnconstrained reports whether any worker of the pool with enough capacity may
// run the request.
func isUnconstrained(r *Request) bool {
	return r.Step.Label == "" && r.Step.MaxPerWorker == 0 && !r.NeedsTicket && len(r.Avoid) == 0
}

// knownUnplaceable returns an earlier request of this call that found too few workers
// and is no harder to place than r, so that r would not find one either, or nil.
// unplaceable holds these requests by class. What a filler adds to the load of services
// depends on its full size, although no CPU is committed to it.
func knownUnplaceable(unplaceable map[placementClass][]*Request, r *Request) *Request {
	for _, other := range unplaceable[classOf(r)] {
		if r.MinPaceFraction >= other.MinPaceFraction && other.Step.Size.Fits(r.Step.Size) {
			return other
		}
	}
	return nil
}

// placeIndividually assigns the tasks of a request one at a time, at most limit.
// A worker's score changes only when it is assigned a task, so only that score is
// computed again.
func (a *Allocator) placeIndividually(r *Request, t *scoreTable, limit int) []carobrock.TaskAssignment {
	var out []carobrock.TaskAssignment
	uses := t.headroomFor(r)
	for i := range t.workers {
		t.scores[i] = t.score(r, i, uses)
	}
	for i := range r.Indices {
		if len(out) >= limit {
			break
		}
		if !r.hasRoomFor(1) {
			r.HeldCount = len(r.Indices) - i
			break
		}
		top := indexOfMax(t.scores)
		if top < 0 {
			break
		}
		out = append(out, a.assignTask(r, i, t.workers[top]))
		if r.Step.Filler {
			t.forgetWorker(top)
		}
		t.scores[top] = t.score(r, top, uses)
	}
	return out
}

// ineligible is the score of a worker that must not get the task.
var ineligible = math.Inf(-1)

// scoreOrIneligible returns the score of a worker, or ineligible if it must not
// get a task of r.
func (a *Allocator) scoreOrIneligible(r *Request, w *Worker) float64 {
	if !Fits(r, w) {
		return ineligible
	}
	if !r.Step.Filler {
		return scoreWorker(r, w)
	}
	return scoreFiller(r, w, pacer.HeadroomUse(a.Model, w.Services, describeFiller(r.Step, w)))
}

// scoreFiller returns the score of a worker for a filler that uses a fraction of the
// headroom of its services, or ineligible.
func scoreFiller(r *Request, w *Worker, use float64) float64 {
	if use*r.MinPaceFraction > 1 {
		return ineligible
	}
	return scoreWorker(r, w) - headroomWeight*use
}

// indexOfMax returns the index of the highest score, -1 if all are ineligible.
func indexOfMax(scores []float64) int {
	at := -1
	for i, s := range scores {
		if s > ineligible && (at < 0 || s > scores[at]) {
			at = i
		}
	}
	return at
}

// placeGang assigns all tasks of a gang or none. If the step asks for one rack,
// it tries the racks one by one before it spreads the gang over several.
func (a *Allocator) placeGang(r *Request, workers []*Worker) []carobrock.TaskAssignment {
	if r.Step.SameRack {
		for _, rack := range racksByFreeCPU(r, workers) {
			if out := a.placeAll(r, workers, rack); out != nil {
				return out
			}
		}
	}
	return a.placeAll(r, workers, "")
}

// placeAll assigns all tasks of a request to workers on one rack, or on any racks
// if rack is empty. It returns nil and leaves the workers unchanged if not all
// tasks fit.
func (a *Allocator) placeAll(r *Request, workers []*Worker, rack string) []carobrock.TaskAssignment {
	var out []carobrock.TaskAssignment
	var assigned []*Worker
	for i := range r.Indices {
		w := a.bestWorker(r, workers, rack)
		if w == nil {
			for _, t := range assigned {
				a.unassignTask(r, t)
			}
			return nil
		}
		out = append(out, a.assignTask(r, i, w))
		assigned = append(assigned, w)
	}
	return out
}

// racksByFreeCPU returns the racks that have workers of the request's pool,
// those with the most free CPU first.
func racksByFreeCPU(r *Request, workers []*Worker) []string {
	freeCPU := map[string]int64{}
	for _, w := range workers {
		if w.Pool == r.Pool {
			freeCPU[w.Rack] += w.Free.MilliCPU
		}
	}
	racks := make([]string, 0, len(freeCPU))
	for rack := range freeCPU {
		racks = append(racks, rack)
	}
	slices.SortFunc(racks, func(a, b string) int {
		return cmp.Or(cmp.Compare(freeCPU[b], freeCPU[a]), cmp.Compare(a, b))
	})
	return racks
}

// assignTask assigns the i-th waiting task of r to w and updates the capacity
// and the services of w.
func (a *Allocator) assignTask(r *Request, i int, w *Worker) carobrock.TaskAssignment {
	w.Free = w.Free.Sub(r.Step.Committed())
	w.SpareMilliCPU -= r.Step.Size.MilliCPU
	w.RunCount++
	w.RecentCount++
	a.updateServices(r.Step, w, 1)
	if r.Room != nil {
		r.Room.Size = r.Room.Size.Sub(r.Step.Size)
	}
	if r.RunsPerWorker != nil {
		r.RunsPerWorker[w.Incarnation]++
	}
	return carobrock.TaskAssignment{Task: r.taskRef(i), Attempt: r.Attempts[i], Incarnation: w.Incarnation, Ticket: r.Tickets[w.Incarnation]}
}

// unassignTask undoes assignTask.
func (a *Allocator) unassignTask(r *Request, w *Worker) {
	w.Free = w.Free.Add(r.Step.Committed())
	w.SpareMilliCPU += r.Step.Size.MilliCPU
	w.RunCount--
	w.RecentCount--
	a.updateServices(r.Step, w, -1)
	if r.Room != nil {
		r.Room.Size = r.Room.Size.Add(r.Step.Size)
	}
	if r.RunsPerWorker != nil {
		r.RunsPerWorker[w.Incarnation]--
	}
}

// Fits reports whether w has the capacity for a task of r and meets the
// constraints of r. It does not consider interference.
func Fits(r *Request, w *Worker) bool {
	switch {
	case w.Pool != r.Pool, w.IsIsolated, !r.Step.Committed().Fits(w.Free):
		return false
	case r.Step.Label != "" && !slices.Contains(w.Labels, r.Step.Label):
		return false
	case r.Step.MaxPerWorker > 0 && r.RunsPerWorker[w.Incarnation] >= r.Step.MaxPerWorker:
		return false
	case r.Avoid[w.Incarnation]:
		return false
	case r.NeedsTicket && r.Tickets[w.Incarnation] == "":
		return false
	default:
		return true
	}
}

// bestWorker returns the eligible worker with the highest score on one rack, or
// on any rack if rack is empty. It returns nil if there is none.
func (a *Allocator) bestWorker(r *Request, workers []*Worker, rack string) *Worker {
	scores := make([]float64, len(workers))
	for i, w := range workers {
		scores[i] = ineligible
		if rack == "" || w.Rack == rack {
			scores[i] = a.scoreOrIneligible(r, w)
		}
	}
	if top := indexOfMax(scores); top >= 0 {
		return workers[top]
	}
	return nil
}

// ReserveForFiller returns a worker that has spare CPU for a filler of r and
// whose services stay below their limits. It subtracts the filler from the
// capacity of that worker and adds its load to the services. It returns nil if
// there is none.
func (a *Allocator) ReserveForFiller(r *Request, workers []*Worker) *Worker {
	w := a.bestWorker(r, workers, "")
	if w == nil || w.SpareMilliCPU < r.Step.Size.MilliCPU {
		return nil
	}
	w.Free = w.Free.Sub(r.Step.Committed())
	w.SpareMilliCPU -= r.Step.Size.MilliCPU
	w.RunCount++
	w.RecentCount++
	a.updateServices(r.Step, w, 1)
	return w
}

// describeFiller describes a filler task of a step on a worker to the model.
func describeFiller(step *carobrock.Step, w *Worker) pacer.Filler {
	return pacer.Filler{Image: step.Image, Share: cpuShare(step, w)}
}

// cpuShare returns the fraction of a worker's processors that a task requests.
func cpuShare(step *carobrock.Step, w *Worker) float64 {
	return float64(step.Size.MilliCPU) / float64(max(1, w.Capacity.MilliCPU))
}

// addFillerLoad adds the load that a filler of a step causes to the worker's
// services, or subtracts it if sign is -1.
func (a *Allocator) addFillerLoad(step *carobrock.Step, w *Worker, sign float64) {
	f := describeFiller(step, w)
	for i := range w.Services {
		w.Services[i].Load += sign * f.Share * a.Model.Pressure(w.Services[i].Image, f.Image)
	}
}

// updateServices adds a task of a step to the service loads or the image counts
// of a worker, or removes it if sign is -1.
func (a *Allocator) updateServices(step *carobrock.Step, w *Worker, sign int) {
	switch {
	case step.Filler:
		a.addFillerLoad(step, w, float64(sign))
	case step.Service && w.ServicesByImage != nil:
		w.ServicesByImage[step.Image] += sign
	}
}
