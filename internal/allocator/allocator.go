package allocator

import (
	"cmp"
	"math"
	"slices"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/pacer"
)

// Allocator places tasks.
type Allocator struct {
	// Model tells how much fillers slow services. It is not changed.
	Model *pacer.Model
}

// Place returns the assignments for requests, which are in the order in which
// they are served, and updates the workers' amounts. At most limit tasks are
// assigned.
func (a *Allocator) Place(requests []Request, workers []*Worker, limit int) []carobrock.TaskAssignment {
	var out []carobrock.TaskAssignment
	refused := map[string]*Request{}
	for i := range requests {
		if len(out) >= limit {
			break
		}
		if isRefused(refused, &requests[i]) {
			continue
		}
		if requests[i].Step.Gang {
			out = append(out, a.placeGang(&requests[i], workers)...)
			continue
		}
		placed := a.placeEach(&requests[i], workers, limit-len(out))
		if len(placed) < len(requests[i].Indices) && requests[i].Step.Filler {
			refused[requests[i].Step.Image] = &requests[i]
		}
		out = append(out, placed...)
	}
	return out
}

// isRefused reports whether a filler like that of r, and none harder to place,
// found no worker in this turn, so that r finds none either.
func isRefused(refused map[string]*Request, r *Request) bool {
	other := refused[r.Step.Image]
	return r.Step.Filler && other != nil && other.Pool == r.Pool && r.MinPace >= other.MinPace &&
		other.Step.Size.Fits(r.Step.Size) && other.Step.Label == "" && other.Step.MaxPerWorker == 0 && !other.NeedsTicket
}

// placeEach places the tasks of a request one by one. A worker's score changes
// only when it gets a task.
func (a *Allocator) placeEach(r *Request, workers []*Worker, limit int) []carobrock.TaskAssignment {
	var out []carobrock.TaskAssignment
	scores := make([]float64, len(workers))
	for i, w := range workers {
		scores[i] = a.scoreIfFits(r, w)
	}
	for i := range r.Indices {
		if len(out) >= limit {
			break
		}
		top := highest(scores)
		if top < 0 {
			break
		}
		out = append(out, a.take(r, i, workers[top]))
		scores[top] = a.scoreIfFits(r, workers[top])
	}
	return out
}

// unfit is the score of a worker that must not get a task.
var unfit = math.Inf(-1)

// scoreIfFits returns the score of a worker, unfit if it must not get a task of
// r.
func (a *Allocator) scoreIfFits(r *Request, w *Worker) float64 {
	if !Fits(r, w) {
		return unfit
	}
	if !r.Step.Filler {
		return score(r, w)
	}
	use := pacer.Use(a.Model, w.Services, filler(r.Step, w))
	if use*r.MinPace > 1 {
		return unfit
	}
	return score(r, w) - useWeight*use
}

// highest returns the index of the highest score, -1 if all are unfit.
func highest(scores []float64) int {
	at := -1
	for i, s := range scores {
		if s > unfit && (at < 0 || s > scores[at]) {
			at = i
		}
	}
	return at
}

// placeGang places all tasks of a request or none.
func (a *Allocator) placeGang(r *Request, workers []*Worker) []carobrock.TaskAssignment {
	if r.Step.SameRack {
		for _, rack := range racksByRoom(r, workers) {
			if out := a.placeAll(r, workers, rack); out != nil {
				return out
			}
		}
	}
	return a.placeAll(r, workers, "")
}

// placeAll places all tasks of a request on one rack, or on any if rack is
// empty. It returns nil and changes nothing if not all fit.
func (a *Allocator) placeAll(r *Request, workers []*Worker, rack string) []carobrock.TaskAssignment {
	var out []carobrock.TaskAssignment
	var taken []*Worker
	for i := range r.Indices {
		w := a.best(r, workers, rack)
		if w == nil {
			for _, t := range taken {
				a.giveBack(r, t)
			}
			return nil
		}
		out = append(out, a.take(r, i, w))
		taken = append(taken, w)
	}
	return out
}

// racksByRoom returns the racks of the workers, that with the most free
// processors first.
func racksByRoom(r *Request, workers []*Worker) []string {
	room := map[string]int64{}
	for _, w := range workers {
		if w.Pool == r.Pool {
			room[w.Rack] += w.Free.MilliCPU
		}
	}
	racks := make([]string, 0, len(room))
	for rack := range room {
		racks = append(racks, rack)
	}
	slices.SortFunc(racks, func(a, b string) int {
		return cmp.Or(cmp.Compare(room[b], room[a]), cmp.Compare(a, b))
	})
	return racks
}

// take assigns task i of r to w and updates the amounts.
func (a *Allocator) take(r *Request, i int, w *Worker) carobrock.TaskAssignment {
	w.Free = w.Free.Sub(r.Step.Committed())
	w.SpareMilliCPU -= r.Step.Size.MilliCPU
	a.note(r.Step, w, 1)
	if r.OnWorker != nil {
		r.OnWorker[w.Life]++
	}
	return carobrock.TaskAssignment{Task: r.ref(i), Attempt: r.Attempts[i], Life: w.Life, Ticket: r.Tickets[w.Life.Name]}
}

func (a *Allocator) giveBack(r *Request, w *Worker) {
	w.Free = w.Free.Add(r.Step.Committed())
	w.SpareMilliCPU += r.Step.Size.MilliCPU
	a.note(r.Step, w, -1)
	if r.OnWorker != nil {
		r.OnWorker[w.Life]--
	}
}

// Fits reports whether a worker may run a task of r now.
func Fits(r *Request, w *Worker) bool {
	switch {
	case w.Pool != r.Pool, !r.Step.Committed().Fits(w.Free):
		return false
	case r.Step.Label != "" && !slices.Contains(w.Labels, r.Step.Label):
		return false
	case r.Step.MaxPerWorker > 0 && r.OnWorker[w.Life] >= r.Step.MaxPerWorker:
		return false
	case r.Avoid[w.Life]:
		return false
	case r.NeedsTicket && r.Tickets[w.Life.Name] == "":
		return false
	default:
		return true
	}
}

// best returns the worker with the highest score that fits, on one rack or on
// any if rack is empty, nil if none does.
func (a *Allocator) best(r *Request, workers []*Worker, rack string) *Worker {
	scores := make([]float64, len(workers))
	for i, w := range workers {
		scores[i] = unfit
		if rack == "" || w.Rack == rack {
			scores[i] = a.scoreIfFits(r, w)
		}
	}
	if top := highest(scores); top >= 0 {
		return workers[top]
	}
	return nil
}

// Weights of the score, in shares of a worker's processors.
const (
	// dataRackWeight outweighs all but distrust: away from its data a task takes
	// a multiple of its time.
	dataRackWeight = 3.0
	// waitingWeight prefers a worker that gets the order at once: a start that
	// waits for the next heartbeat costs about a tenth of a short task.
	waitingWeight = 0.1
	// distrustWeight outweighs all else: work on a failing worker is lost.
	distrustWeight = 10.0
	// useWeight is the cost of all the room below the services' limits, which
	// other fillers could use.
	useWeight = 0.5
	// crowdWeight is the cost of asking for more processors than are spare: the
	// fillers there slow down in proportion.
	crowdWeight = 4.0
	// imageWeight prefers service tasks of one image together: what presses on
	// one image then presses on few workers.
	imageWeight = 4.0
)

// score returns how well a worker suits a task of r but for the pressure on its
// services; higher is better.
func score(r *Request, w *Worker) float64 {
	whole := float64(max(1, w.Capacity.MilliCPU))
	s := -distrustWeight * w.Distrust
	switch {
	case r.Step.Filler:
		s += 0.5 * float64(w.SpareMilliCPU) / whole
		if lack := r.Step.Size.MilliCPU - w.SpareMilliCPU; lack > 0 {
			s -= crowdWeight * float64(lack) / whole
		}
	case r.Step.Service:
		s += 1 - float64(w.Free.MilliCPU)/whole + imageWeight*sameImage(r.Step.Image, w)
	default:
		s += float64(w.Free.MilliCPU)/whole + 0.5*float64(w.SpareMilliCPU)/whole
	}
	if r.Step.DataRack != "" && r.Step.DataRack == w.Rack {
		s += dataRackWeight
	}
	if w.IsWaiting {
		s += waitingWeight
	}
	return s
}

// FindBetter returns a worker on which a filler of a step harms nobody and finds
// spare processors, nil if there is none, and counts the filler there.
func (a *Allocator) FindBetter(r *Request, workers []*Worker) *Worker {
	w := a.best(r, workers, "")
	if w == nil || w.SpareMilliCPU < r.Step.Size.MilliCPU {
		return nil
	}
	w.Free = w.Free.Sub(r.Step.Committed())
	w.SpareMilliCPU -= r.Step.Size.MilliCPU
	a.note(r.Step, w, 1)
	return w
}

// filler describes a task of a filling step on a worker.
func filler(step *carobrock.Step, w *Worker) pacer.Filler {
	return pacer.Filler{Image: step.Image, Share: float64(step.Size.MilliCPU) / float64(max(1, w.Capacity.MilliCPU))}
}

// sameImage returns the share of the worker's service tasks that run image, a
// half for a worker without any.
func sameImage(image string, w *Worker) float64 {
	all := 0
	for _, n := range w.Images {
		all += n
	}
	if all == 0 {
		return 0.5
	}
	return float64(w.Images[image]) / float64(all)
}

// press notes that a filler of a step presses on the worker's services, or with
// sign -1 that it no longer does.
func (a *Allocator) press(step *carobrock.Step, w *Worker, sign float64) {
	f := filler(step, w)
	for i := range w.Services {
		w.Services[i].Load += sign * f.Share * a.Model.Pressure(w.Services[i].Image, f.Image)
	}
}

// note counts a task of a step on the worker, or with sign -1 takes it back.
func (a *Allocator) note(step *carobrock.Step, w *Worker, sign int) {
	switch {
	case step.Filler:
		a.press(step, w, float64(sign))
	case step.Service && w.Images != nil:
		w.Images[step.Image] += sign
	}
}
