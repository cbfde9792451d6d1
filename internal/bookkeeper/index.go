package bookkeeper

import (
	"slices"

	"github.com/carobrock/carobrock"
)

// index rebuilds what a snapshot does not hold.
func (s *State) index(lives []savedLife) {
	for _, x := range lives {
		l := s.life(x.Life)
		l.Acked = x.Acked
		for i := range x.Loose {
			r := &x.Loose[i]
			l.Runs[carobrock.Run{Task: r.Task, Attempt: r.Attempt}] = &r.Step
		}
	}
	for _, j := range s.Jobs {
		if !j.IsOpen() {
			s.ended = append(s.ended, j)
			continue
		}
		s.Open = append(s.Open, j)
		if j.State == carobrock.JobPending {
			s.Pending[j.Spec.Queue]++
		}
		s.indexRuns(j)
	}
	slices.SortFunc(s.Open, func(a, b *Job) int { return int(a.Order) - int(b.Order) })
	slices.SortFunc(s.ended, func(a, b *Job) int { return int(a.EndedUnixMillis - b.EndedUnixMillis) })
}

func (s *State) indexRuns(j *Job) {
	for k, o := range j.Occurrences {
		if o == nil {
			continue
		}
		for i := range o.Steps {
			for n := range o.Steps[i].Tasks {
				ref := carobrock.TaskRef{Job: j.Spec.ID, Occurrence: k, Step: i, Index: n}
				for _, r := range o.Steps[i].Tasks[n].Runs {
					s.life(r.Life).Runs[carobrock.Run{Task: ref, Attempt: r.Attempt}] = &j.Spec.Steps[i]
				}
			}
		}
	}
}

// life returns the record of a worker life, made if there is none.
func (s *State) life(key carobrock.WorkerLife) *Life {
	l := s.Lives[key]
	if l == nil {
		l = &Life{Runs: map[carobrock.Run]*carobrock.Step{}}
		s.Lives[key] = l
	}
	return l
}

// Task returns a task with its step and job, or nil if the job is unknown or
// has ended, or the task has not been assigned before.
func (s *State) Task(ref carobrock.TaskRef) (*Job, *StepState, *Task) {
	j := s.Jobs[ref.Job]
	if j == nil || !j.IsOpen() || ref.Occurrence < 0 || ref.Occurrence >= len(j.Occurrences) {
		return nil, nil, nil
	}
	o := j.Occurrences[ref.Occurrence]
	if o == nil || ref.Step < 0 || ref.Step >= len(o.Steps) {
		return nil, nil, nil
	}
	st := &o.Steps[ref.Step]
	if ref.Index < 0 || ref.Index >= len(st.Tasks) {
		return nil, nil, nil
	}
	return j, st, &st.Tasks[ref.Index]
}

// IsActive reports whether the task of a run still waits for it.
func (s *State) IsActive(life carobrock.WorkerLife, r carobrock.Run) bool {
	return s.activeRun(life, r) != nil
}

// Ticket returns the ticket that a run was assigned with.
func (s *State) Ticket(life carobrock.WorkerLife, r carobrock.Run) string {
	if x := s.activeRun(life, r); x != nil {
		return x.Ticket
	}
	return ""
}

func (s *State) activeRun(life carobrock.WorkerLife, r carobrock.Run) *TaskRun {
	_, _, t := s.Task(r.Task)
	if t == nil {
		return nil
	}
	for i := range t.Runs {
		if t.Runs[i].Attempt == r.Attempt && t.Runs[i].Life == life {
			return &t.Runs[i]
		}
	}
	return nil
}

// looseRuns returns the runs of a life that no open job's task waits for.
func (s *State) looseRuns(key carobrock.WorkerLife, l *Life) []savedRun {
	var out []savedRun
	for r, step := range l.Runs {
		if !s.IsActive(key, r) {
			out = append(out, savedRun{Task: r.Task, Attempt: r.Attempt, Step: *step})
		}
	}
	return out
}
