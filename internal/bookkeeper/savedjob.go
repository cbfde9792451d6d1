package bookkeeper

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/carobrock/carobrock"
)

// maxListedTasks is the number of occurrences and tasks of a job up to which its
// occurrences are saved as a list of all of them with all their tasks, which earlier
// releases can decode. Otherwise a snapshot would grow with the number of repetitions and
// tasks of the stored jobs. Earlier releases do not accept a snapshot with the other form.
const maxListedTasks = 4096

// savedJob is the form of a Job in a snapshot.
type savedJob struct {
	Spec                carobrock.JobSpec  `cbor:"1,keyasint"`
	Queue               carobrock.Queue    `cbor:"2,keyasint"`
	SubmitNumber        uint64             `cbor:"3,keyasint"`
	State               carobrock.JobState `cbor:"4,keyasint"`
	SubmittedUnixMillis int64              `cbor:"5,keyasint"`
	EndedUnixMillis     int64              `cbor:"6,keyasint,omitempty"`
	// Occurrences is a list of savedOccurrence, or a startedOccurrences.
	Occurrences     cbor.RawMessage `cbor:"7,keyasint"`
	OpenOccurrences int             `cbor:"8,keyasint"`
	ExceedsRate     bool            `cbor:"9,keyasint,omitempty"`
}

// startedOccurrences is the compact form of the occurrences of a job.
type startedOccurrences struct {
	Started []*Occurrence `cbor:"1,keyasint"`
	Touched NumberSet     `cbor:"2,keyasint"`
}

// savedOccurrence is an element of the list of all occurrences. It is nil if no task of the
// occurrence was assigned.
type savedOccurrence struct {
	// Steps has an element for each step.
	Steps []savedStep `cbor:"1,keyasint"`
	// OpenSteps counts the steps that are not done.
	OpenSteps int `cbor:"2,keyasint"`
}

// savedStep is a step of a savedOccurrence.
type savedStep struct {
	// Tasks has an element for each task of the step, none if the step is done.
	Tasks         []Task `cbor:"1,keyasint"`
	DoneCount     int    `cbor:"2,keyasint,omitempty"`
	ActiveCount   int    `cbor:"3,keyasint,omitempty"`
	FailedAttempt uint64 `cbor:"4,keyasint,omitempty"`
}

// MarshalCBOR implements cbor.Marshaler.
func (j *Job) MarshalCBOR() ([]byte, error) {
	occurrences, err := j.encodeOccurrences()
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(&savedJob{
		Spec: j.Spec, Queue: j.Queue, SubmitNumber: j.SubmitNumber, State: j.State, SubmittedUnixMillis: j.SubmittedUnixMillis, EndedUnixMillis: j.EndedUnixMillis,
		Occurrences: occurrences, OpenOccurrences: j.OpenOccurrences, ExceedsRate: j.ExceedsRate,
	})
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (j *Job) UnmarshalCBOR(data []byte) error {
	saved := savedJob{}
	if err := snapshotDecoder.Unmarshal(data, &saved); err != nil {
		return err
	}
	*j = Job{
		Spec: saved.Spec, Queue: saved.Queue, SubmitNumber: saved.SubmitNumber, State: saved.State, SubmittedUnixMillis: saved.SubmittedUnixMillis, EndedUnixMillis: saved.EndedUnixMillis,
		OpenOccurrences: saved.OpenOccurrences, ExceedsRate: saved.ExceedsRate,
	}
	if !j.IsOpen() {
		return nil
	}
	return j.decodeOccurrences(saved.Occurrences)
}

// encodeOccurrences returns the encoding of the occurrences, nil if the job has ended.
func (j *Job) encodeOccurrences() ([]byte, error) {
	if !j.IsOpen() {
		return nil, nil
	}
	if j.listedTasks() > maxListedTasks {
		return cbor.Marshal(&startedOccurrences{Started: j.Started, Touched: j.Touched})
	}
	list := make([]*savedOccurrence, j.Spec.Occurrences())
	for k := range list {
		if j.Touched.Has(k) {
			list[k] = j.listOccurrence(j.Occurrence(k))
		}
	}
	return cbor.Marshal(list)
}

// listedTasks returns the number of occurrences, steps and tasks in the list of all
// occurrences.
func (j *Job) listedTasks() int {
	n := j.Spec.Occurrences() + j.Touched.CountBelow(j.Spec.Occurrences())*len(j.Spec.Steps)
	for _, o := range j.Started {
		for i := range j.Spec.Steps {
			if !o.IsStepDone(i) {
				n += j.Spec.Steps[i].Count
			}
		}
		if n > maxListedTasks {
			break
		}
	}
	return n
}

// listOccurrence returns the saved form of an occurrence, which is done if o is nil.
func (j *Job) listOccurrence(o *Occurrence) *savedOccurrence {
	out := &savedOccurrence{Steps: make([]savedStep, len(j.Spec.Steps))}
	if o == nil {
		return out
	}
	out.OpenSteps = o.OpenSteps
	for i := range out.Steps {
		if o.IsStepDone(i) {
			continue
		}
		saved := &out.Steps[i]
		saved.Tasks = make([]Task, j.Spec.Steps[i].Count)
		st := o.Step(i)
		if st == nil {
			continue
		}
		saved.DoneCount, saved.ActiveCount, saved.FailedAttempt = st.DoneCount, st.ActiveCount, st.FailedAttempt
		for n := range saved.Tasks {
			if st.Done.Has(n) {
				saved.Tasks[n].Done = true
			}
		}
		for n, t := range st.Tasks {
			saved.Tasks[n] = *t
		}
	}
	return out
}

// decodeOccurrences sets the occurrences of an open job from either form.
func (j *Job) decodeOccurrences(data cbor.RawMessage) error {
	var list []cbor.RawMessage
	if snapshotDecoder.Unmarshal(data, &list) != nil {
		return j.decodeStarted(data)
	}
	if len(list) != j.Spec.Occurrences() {
		return eris.Errorf("bookkeeper: job %s has %d occurrences, want %d", j.Spec.ID, len(list), j.Spec.Occurrences())
	}
	for k := range list {
		// One by one, as a list of an earlier release has all tasks of the job.
		var saved *savedOccurrence
		if err := snapshotDecoder.Unmarshal(list[k], &saved); err != nil {
			return err
		}
		if saved == nil {
			continue
		}
		if err := j.restoreOccurrence(k, saved); err != nil {
			return err
		}
	}
	return nil
}

// decodeStarted sets the occurrences from the compact form.
func (j *Job) decodeStarted(data cbor.RawMessage) error {
	saved := startedOccurrences{}
	if err := snapshotDecoder.Unmarshal(data, &saved); err != nil {
		return err
	}
	j.Started, j.Touched = saved.Started, saved.Touched
	for _, o := range j.Started {
		for _, st := range o.Steps {
			if st.Number < 0 || st.Number >= len(j.Spec.Steps) || st.Count != j.Spec.Steps[st.Number].Count {
				return eris.Errorf("bookkeeper: step %d of job %s is not in its specification", st.Number, j.Spec.ID)
			}
			if st.Tasks == nil {
				st.Tasks = map[int]*Task{}
			}
			j.ActiveCount += st.ActiveCount
		}
	}
	return nil
}

// restoreOccurrence sets occurrence k from its saved form. Earlier releases save the tasks
// of steps that are done as well.
func (j *Job) restoreOccurrence(k int, saved *savedOccurrence) error {
	if len(saved.Steps) != len(j.Spec.Steps) {
		return eris.Errorf("bookkeeper: occurrence %d of job %s has %d steps, want %d", k, j.Spec.ID, len(saved.Steps), len(j.Spec.Steps))
	}
	o := j.startOccurrence(k)
	for i := range saved.Steps {
		x, count := &saved.Steps[i], j.Spec.Steps[i].Count
		switch {
		case x.DoneCount == len(x.Tasks):
			o.endStep(i)
			continue
		case len(x.Tasks) != count:
			return eris.Errorf("bookkeeper: step %d of job %s has %d tasks, want %d", i, j.Spec.ID, len(x.Tasks), count)
		}
		j.restoreStep(o, i, x)
	}
	if o.OpenSteps == 0 {
		j.endOccurrence(k)
	}
	return nil
}

// restoreStep sets step i of an occurrence, which is not done, from its saved form.
func (j *Job) restoreStep(o *Occurrence, i int, saved *savedStep) {
	for n := range saved.Tasks {
		t := &saved.Tasks[n]
		switch {
		case t.Done:
			o.startStep(i, len(saved.Tasks)).Done.Add(n)
		case !t.isZero():
			stored := *t
			o.startStep(i, len(saved.Tasks)).Tasks[n] = &stored
		}
	}
	if st := o.Step(i); st != nil {
		st.DoneCount, st.ActiveCount, st.FailedAttempt = saved.DoneCount, saved.ActiveCount, saved.FailedAttempt
		j.ActiveCount += st.ActiveCount
	}
}

// isZero reports whether a task has the state of one that was never assigned.
func (t *Task) isZero() bool {
	return t.Attempt == 0 && t.Failures == 0 && !t.Done && t.Checkpoint == "" && len(t.Runs) == 0 && t.Crashes == 0 && !t.CrashedInIsolation && t.ProvenAttempt == 0
}
