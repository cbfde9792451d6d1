package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/allocator"
	"github.com/carobrock/carobrock/internal/bookkeeper"
	"github.com/carobrock/carobrock/internal/ranker"
)

// Reasons for which no request of a job reaches the allocator.
const (
	// unknownPool means that no configuration in force names the pool of the queue.
	unknownPool allocator.WaitReason = "unknownPool"
	// suspectHeld means that the tasks are suspected of crashing workers and are not
	// started for now.
	suspectHeld allocator.WaitReason = "suspectHeld"
)

const (
	// waitsInterval is the time between two records of the waiting jobs.
	waitsInterval = time.Second
	// overdueLogInterval is the least time between two log lines about overdue jobs.
	overdueLogInterval = 5 * time.Second
	// overdueFactor is the multiple of its time objective after which a waiting job is
	// overdue. It is well beyond the time at which finishing the job has no value.
	overdueFactor = 5
	// minOverdueSeconds is the least age of an overdue job, for jobs with a short
	// objective or none.
	minOverdueSeconds = 10
	// maxListedWaits is the number of waiting jobs in the status.
	maxListedWaits = 10
)

// waitAgeBounds are the upper bounds, in seconds, of the buckets of age histograms. One
// bucket follows for higher ages.
var waitAgeBounds = [...]float64{1, 2, 5, 10, 20, 50, 100}

// WaitCount counts waiting jobs.
type WaitCount struct {
	Jobs int `json:"jobs"`
	// Ages counts the jobs by age in the buckets of WaitStatus.AgeBoundsSeconds.
	Ages [len(waitAgeBounds) + 1]int `json:"ages"`
}

// WaitingJob is a job that waits, and why.
type WaitingJob struct {
	Job   string `json:"job"`
	Class string `json:"class"`
	// Reason is that of the first of its waiting tasks.
	Reason     allocator.WaitReason `json:"reason"`
	AgeSeconds float64              `json:"ageSeconds"`
	// ObjectiveSeconds is the time objective of the job.
	ObjectiveSeconds float64 `json:"objectiveSeconds"`
}

func (x *WaitingJob) isOverdue() bool {
	return x.AgeSeconds > max(minOverdueSeconds, overdueFactor*x.ObjectiveSeconds)
}

// WaitStatus tells why jobs wait. A job waits if some of its tasks could run by their
// due time and dependencies, but none of its tasks runs. Its age counts from its
// submission or due time, or, if it has started before, from when the leader noticed
// that nothing of it runs.
type WaitStatus struct {
	// Jobs counts the waiting jobs, Overdue those that have waited long past their
	// objective.
	Jobs    int `json:"jobs"`
	Overdue int `json:"overdue"`
	// ByClass counts the jobs by class, as ranker.Urgency.ClassName names it, and reason.
	ByClass map[string]map[allocator.WaitReason]*WaitCount `json:"byClass"`
	// AgeBoundsSeconds are the upper bounds of the buckets of ages, without the last.
	AgeBoundsSeconds [len(waitAgeBounds)]float64 `json:"ageBoundsSeconds"`
	// Oldest are the jobs with the highest ages.
	Oldest []WaitingJob `json:"oldest"`
}

// waitTable holds the record of the waiting jobs.
type waitTable struct {
	// term is the term in which the record was made.
	term       uint64
	recordedAt time.Time
	loggedAt   time.Time
	// idleSinceMillis is when each started job was found without running tasks, in
	// milliseconds since 1970.
	idleSinceMillis map[string]int64
	// status is replaced with each record, but not changed.
	status WaitStatus
}

// Waits returns why jobs waited as of the last record. It is empty unless this replica
// is the leader.
func (d *Dispatcher) Waits() WaitStatus {
	term, isLeader := d.Leadership.Term()
	d.mu.Lock()
	defer d.mu.Unlock()
	if !isLeader || d.waits.term != term {
		return WaitStatus{AgeBoundsSeconds: waitAgeBounds}
	}
	return d.waits.status
}

// recordWaits records why jobs wait, at most once in waitsInterval. requests and
// assigned are those of a round that considered all waiting tasks. d.mu must be held.
func (d *Dispatcher) recordWaits(s *bookkeeper.State, requests []allocator.Request, assigned []carobrock.TaskAssignment, now time.Time) {
	if d.waits.term != d.term {
		d.waits = waitTable{term: d.term}
	}
	t := &d.waits
	if now.Sub(t.recordedAt) < waitsInterval {
		return
	}
	t.recordedAt = now
	reasons := make(map[string]allocator.WaitReason, len(s.Open))
	for i := len(requests) - 1; i >= 0; i-- {
		reasons[requests[i].Job] = requests[i].WaitReason
	}
	isAssigned := map[string]bool{}
	for i := range assigned {
		isAssigned[assigned[i].Task.Job] = true
	}
	nowMillis := d.Now().UnixMilli()
	idleSince := map[string]int64{}
	status := WaitStatus{ByClass: map[string]map[allocator.WaitReason]*WaitCount{}, AgeBoundsSeconds: waitAgeBounds}
	var waiting []WaitingJob
	for _, j := range s.Open {
		k, i, ok := waitingStep(j, nowMillis)
		if !ok || isAssigned[j.Spec.ID] {
			continue
		}
		since := ranker.DueMillis(j, k)
		if j.State == carobrock.JobRunning {
			if since, ok = t.idleSinceMillis[j.Spec.ID]; !ok {
				since = nowMillis
			}
			idleSince[j.Spec.ID] = since
		}
		reason, ok := reasons[j.Spec.ID]
		if !ok {
			reason = d.heldReason(s, j)
		}
		x := WaitingJob{
			Job: j.Spec.ID, Class: ranker.UrgencyOf(j, j.Occurrence(k), k, i, nowMillis).ClassName(), Reason: reason,
			AgeSeconds: max(0, float64(nowMillis-since)/1000), ObjectiveSeconds: float64(ranker.ObjectiveMillis(j)) / 1000,
		}
		status.add(&x)
		waiting = append(waiting, x)
	}
	slices.SortStableFunc(waiting, func(a, b WaitingJob) int { return cmp.Compare(b.AgeSeconds, a.AgeSeconds) })
	status.Oldest = slices.Clone(waiting[:min(maxListedWaits, len(waiting))])
	t.status, t.idleSinceMillis = status, idleSince
	d.logOverdue(waiting, now)
}

// add counts a waiting job.
func (s *WaitStatus) add(x *WaitingJob) {
	s.Jobs++
	if x.isOverdue() {
		s.Overdue++
	}
	byReason := s.ByClass[x.Class]
	if byReason == nil {
		byReason = map[allocator.WaitReason]*WaitCount{}
		s.ByClass[x.Class] = byReason
	}
	c := byReason[x.Reason]
	if c == nil {
		c = &WaitCount{}
		byReason[x.Reason] = c
	}
	c.Jobs++
	bucket, _ := slices.BinarySearch(waitAgeBounds[:], x.AgeSeconds)
	c.Ages[bucket]++
}

// waitingStep returns the first step of a job, by occurrence, with tasks that are due
// and wait, and false if there is none or tasks of the job run.
func waitingStep(j *bookkeeper.Job, nowMillis int64) (occurrence, step int, ok bool) {
	if j.ActiveCount > 0 {
		return 0, 0, false
	}
	// In an occurrence without active tasks some step is ready.
	k := j.Touched.NextMissing(0)
	if len(j.Started) > 0 {
		k = min(k, j.Started[0].Number)
	}
	if k >= j.Spec.DueOccurrences(nowMillis) {
		return 0, 0, false
	}
	o := j.Occurrence(k)
	for i := range j.Spec.Steps {
		if j.WaitingCount(o, i) > 0 && j.IsReady(o, i) {
			return k, i, true
		}
	}
	return 0, 0, false
}

// heldReason returns why the allocator got no request of a waiting job.
func (d *Dispatcher) heldReason(s *bookkeeper.State, j *bookkeeper.Job) allocator.WaitReason {
	switch {
	case j.Queue.Pool == "":
		return unknownPool
	case d.accounts.neverFitting[j.Spec.ID]:
		return allocator.AccountLimit
	case len(s.Suspects) > 0:
		return suspectHeld
	default:
		return allocator.BehindOthers // ends of its runs are being committed
	}
}

// logOverdue logs the oldest of the overdue jobs and how many there are, at most once in
// overdueLogInterval. waiting is sorted by age.
func (d *Dispatcher) logOverdue(waiting []WaitingJob, now time.Time) {
	if now.Sub(d.waits.loggedAt) < overdueLogInterval {
		return
	}
	i := slices.IndexFunc(waiting, func(x WaitingJob) bool { return x.isOverdue() })
	if i < 0 {
		return
	}
	d.waits.loggedAt = now
	byReason := map[allocator.WaitReason]int{}
	for k := range waiting {
		if waiting[k].isOverdue() {
			byReason[waiting[k].Reason]++
		}
	}
	x := &waiting[i]
	d.Logger.Warn().Str("job", x.Job).Str("class", x.Class).Str("reason", string(x.Reason)).Float64("ageSeconds", x.AgeSeconds).Float64("objectiveSeconds", x.ObjectiveSeconds).
		Int("overdue", d.waits.status.Overdue).Interface("overdueByReason", byReason).Int("waiting", len(waiting)).
		Msg("dispatcher: jobs wait long past their objective")
}
