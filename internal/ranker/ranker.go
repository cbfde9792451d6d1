package ranker

import (
	"cmp"
	"math"
	"strconv"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
)

// Urgency is the sort key of a waiting step; lower values are placed first.
type Urgency struct {
	// Class is -1 for services. For other tasks it combines the priority of the
	// queue with the timeliness of the job.
	Class int
	// HasStarted is set if a task of the job has run.
	HasStarted bool
	// SlackMillis is the time in milliseconds by which the job could be delayed and
	// still finish on time.
	SlackMillis int64
}

// Compare returns a negative number if u comes before o, and a positive one if
// it comes after. Lower classes come first, then started jobs, least slack
// first. Jobs that have not started are ordered by most slack first: under
// overload, placing the oldest job first would make every job finish just too
// late. Buttazzo et al. (1995) show this for earliest deadline first.
func (u Urgency) Compare(o Urgency) int {
	startRank := func(u Urgency) int {
		if u.HasStarted {
			return 0
		}
		return 1
	}
	c := cmp.Or(cmp.Compare(u.Class, o.Class), cmp.Compare(startRank(u), startRank(o)))
	if c != 0 {
		return c
	}
	if u.HasStarted {
		return cmp.Compare(u.SlackMillis, o.SlackMillis)
	}
	return cmp.Compare(o.SlackMillis, u.SlackMillis)
}

// Timeliness classes of jobs, in descending order of the value of finishing the
// job.
const (
	onTime = iota
	late
	tooLate
	timelinessClasses // number of classes
)

// IsTooLate reports whether the job is so late that finishing it has no value.
func (u Urgency) IsTooLate() bool { return u.Class >= 0 && u.Class%timelinessClasses == tooLate }

// Promoted returns an urgency that comes before all others of the same priority.
func (u Urgency) Promoted() Urgency {
	return Urgency{Class: u.Class - u.Class%timelinessClasses + onTime, HasStarted: true, SlackMillis: math.MinInt64}
}

// timelinessNames are the names of the timeliness classes in metrics.
var timelinessNames = [timelinessClasses]string{"onTime", "late", "tooLate"}

// ClassName returns the name of the class in metrics: "service", or the priority of the
// queue and the timeliness, as in "0/late".
func (u Urgency) ClassName() string {
	if u.Class < 0 {
		return "service"
	}
	return strconv.Itoa(u.Class/timelinessClasses) + "/" + timelinessNames[u.Class%timelinessClasses]
}

// lateFactor is the multiple of its time objective within which a job that
// finishes late still has some value.
const lateFactor = 3

// UrgencyOf returns the urgency of step i of occurrence k, whose state is o, at a
// time in milliseconds since 1970. Jobs that can still finish on time come before
// jobs that are late already, as in Buttazzo et al., "Value vs. deadline
// scheduling in overload conditions" (1995).
func UrgencyOf(j *bookkeeper.Job, o *bookkeeper.Occurrence, k, i int, atMillis int64) Urgency {
	if j.Spec.Steps[i].Service {
		return Urgency{Class: -1}
	}
	objectiveMillis := ObjectiveMillis(j)
	finishMillis := atMillis + criticalPathMillis(j, o) - DueMillis(j, k)
	timeliness := tooLate
	switch {
	case finishMillis <= objectiveMillis:
		timeliness = onTime
	case finishMillis <= lateFactor*objectiveMillis:
		timeliness = late
	}
	return Urgency{
		Class: j.Queue.Priority*timelinessClasses + timeliness, HasStarted: j.State == carobrock.JobRunning, SlackMillis: objectiveMillis - finishMillis,
	}
}

// DueMillis returns when occurrence k of a job was due, in milliseconds since 1970. The
// time objective counts from then.
func DueMillis(j *bookkeeper.Job, k int) int64 {
	return max(j.SubmittedUnixMillis, j.Spec.DueUnixMillis(k))
}

// ObjectiveMillis returns the time objective of each occurrence of a job, in
// milliseconds.
func ObjectiveMillis(j *bookkeeper.Job) int64 {
	return int64(j.Queue.StretchFactor*float64(criticalPathMillis(j, nil))) + j.Queue.TargetMillis
}

// criticalPathMillis returns the length of the critical path of the steps that
// are not done, or of all steps if o is nil: the longest chain of estimated run
// times, in milliseconds.
func criticalPathMillis(j *bookkeeper.Job, o *bookkeeper.Occurrence) int64 {
	longest := int64(0)
	var buffer [8]int64 // avoids an allocation for all but long jobs
	ends := append(buffer[:0], make([]int64, len(j.Spec.Steps))...)
	for i := range j.Spec.Steps {
		step := &j.Spec.Steps[i]
		for _, before := range step.After {
			ends[i] = max(ends[i], ends[before])
		}
		if !o.IsStepDone(i) {
			ends[i] += step.EstimateMillis
		}
		longest = max(longest, ends[i])
	}
	return longest
}
