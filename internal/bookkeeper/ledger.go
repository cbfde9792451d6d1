package bookkeeper

import (
	"sync"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/carobrock/carobrock"
)

// ErrSnapshot reports that a snapshot cannot be read.
var ErrSnapshot = eris.New("bookkeeper: the snapshot cannot be read")

// State is the whole replicated state of jobs.
type State struct {
	// Configuration is the one with the highest version, nil before the first.
	Configuration *carobrock.Configuration `cbor:"1,keyasint"`
	// ZonesOut holds the availability zones that are out of service.
	ZonesOut map[string]bool `cbor:"2,keyasint"`
	// Jobs holds the jobs by ID, ended ones until their retention is over.
	Jobs map[string]*Job `cbor:"3,keyasint"`
	// Lives holds the worker lives that have reported ends or have runs.
	Lives map[carobrock.WorkerLife]*Life `cbor:"-"`
	// Waves holds the waves of maintenance by number.
	Waves map[int64]*Wave `cbor:"4,keyasint"`
	// Submitted counts the jobs ever submitted.
	Submitted uint64 `cbor:"5,keyasint"`
	// Learned is what the last leader knew of interference, nil if nothing.
	Learned *carobrock.Interference `cbor:"6,keyasint,omitempty"`

	// Open lists the jobs that have not ended, in the order of submission.
	Open []*Job `cbor:"-"`
	// Pending counts the jobs of each queue of which no task was assigned.
	Pending map[string]int `cbor:"-"`
	// ended lists the ended jobs in the order of their end.
	ended []*Job
}

// savedLife is a Life in a snapshot, where keys must be plain.
type savedLife struct {
	Life  carobrock.WorkerLife `cbor:"1,keyasint"`
	Acked uint64               `cbor:"2,keyasint"`
	Loose []savedRun           `cbor:"3,keyasint,omitempty"`
}

// savedRun is a run whose task no longer waits for it.
type savedRun struct {
	Task    carobrock.TaskRef `cbor:"1,keyasint"`
	Attempt uint64            `cbor:"2,keyasint"`
	Step    carobrock.Step    `cbor:"3,keyasint"`
}

// savedState is a State in a snapshot.
type savedState struct {
	State *State      `cbor:"1,keyasint"`
	Lives []savedLife `cbor:"2,keyasint"`
}

// Ledger is the state machine. Its fields are set before the first Apply.
type Ledger struct {
	// RetentionMillis is how long an ended job is remembered. Zero:
	// 10 minutes.
	RetentionMillis int64
	// OnChange is called after every command and restore. Nil: nothing is.
	OnChange func()

	mu    sync.Mutex
	state State
}

var _ carobrock.Machine = (*Ledger)(nil)

// defaultRetentionMillis leaves callers that lost their connection time to ask
// again.
const defaultRetentionMillis = 10 * 60 * 1000

// Prepare makes an empty ledger.
func (l *Ledger) Prepare() {
	if l.RetentionMillis == 0 {
		l.RetentionMillis = defaultRetentionMillis
	}
	l.state = State{}
	l.state.fill()
}

func (s *State) fill() {
	if s.ZonesOut == nil {
		s.ZonesOut = map[string]bool{}
	}
	if s.Jobs == nil {
		s.Jobs = map[string]*Job{}
	}
	if s.Lives == nil {
		s.Lives = map[carobrock.WorkerLife]*Life{}
	}
	if s.Waves == nil {
		s.Waves = map[int64]*Wave{}
	}
	if s.Pending == nil {
		s.Pending = map[string]int{}
	}
}

// View calls fn with the state, which fn must neither change nor keep.
func (l *Ledger) View(fn func(s *State)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fn(&l.state)
}

// Apply implements carobrock.Machine. The result is a *carobrock.JobResult, or
// an error for a command that cannot be read.
func (l *Ledger) Apply(_ uint64, command []byte) any {
	c, err := carobrock.DecodeJobCommand(command)
	if err != nil {
		return err
	}
	l.mu.Lock()
	res := l.state.apply(c, l.RetentionMillis)
	l.mu.Unlock()
	if l.OnChange != nil {
		l.OnChange()
	}
	return res
}

func (s *State) apply(c *carobrock.JobCommand, retention int64) *carobrock.JobResult {
	res := &carobrock.JobResult{}
	if c.Configuration != nil {
		s.configure(c.Configuration)
	}
	for _, z := range c.Zones {
		s.setZone(z)
	}
	for i := range c.Submit {
		res.Submitted = append(res.Submitted, s.submit(&c.Submit[i], c.AtUnixMillis))
	}
	for _, k := range c.Cancel {
		res.Cancelled = append(res.Cancelled, s.cancel(k, c.AtUnixMillis))
	}
	for i := range c.Ends {
		s.recordEnds(&c.Ends[i], c.AtUnixMillis)
	}
	for i := range c.Lost {
		s.lose(&c.Lost[i])
	}
	for _, w := range c.Withdrawn {
		s.removeRun(w.Life, carobrock.Run{Task: w.Task, Attempt: w.Attempt})
	}
	for i := range c.Checkpoints {
		s.recordCheckpoint(&c.Checkpoints[i])
	}
	for i := range c.Assign {
		s.assign(&c.Assign[i])
	}
	for i := range c.Waves {
		s.startWave(&c.Waves[i], c.AtUnixMillis)
	}
	for _, m := range c.Maintained {
		if w := s.Waves[m.Wave]; w != nil {
			w.Begun[m.Machine] = true
		}
	}
	if c.Learned != nil {
		s.Learned = c.Learned
	}
	s.expire(c.AtUnixMillis - retention)
	return res
}

func (s *State) configure(c *carobrock.Configuration) {
	if s.Configuration != nil && c.Version <= s.Configuration.Version {
		return
	}
	s.Configuration = c
	for _, j := range s.Open {
		if q := c.QueueByKey(j.Spec.Queue); q != nil {
			j.Queue = *q
		}
	}
}

func (s *State) setZone(z carobrock.ZoneOrder) {
	if z.OutOfService {
		s.ZonesOut[z.Name] = true
		return
	}
	delete(s.ZonesOut, z.Name)
}

func (s *State) startWave(w *carobrock.MaintenanceWave, at int64) {
	if s.Waves[w.Number] == nil {
		s.Waves[w.Number] = &Wave{MaintenanceWave: *w, StartedUnixMillis: at, Begun: map[string]bool{}}
	}
}

// submit adds a job and reports whether the ID is the job's own.
func (s *State) submit(spec *carobrock.JobSpec, at int64) bool {
	if j := s.Jobs[spec.ID]; j != nil {
		return j.Spec.Queue == spec.Queue
	}
	s.Submitted++
	j := &Job{
		Spec: *spec, Order: s.Submitted, State: carobrock.JobPending, SubmittedUnixMillis: at,
		Occurrences: make([]*Occurrence, spec.Occurrences()), LeftOccurrences: spec.Occurrences(),
	}
	if s.Configuration != nil {
		if q := s.Configuration.QueueByKey(spec.Queue); q != nil {
			j.Queue = *q
		}
	}
	s.Jobs[spec.ID] = j
	s.Open = append(s.Open, j)
	s.Pending[spec.Queue]++
	return true
}

func (s *State) cancel(k carobrock.JobKey, at int64) bool {
	j := s.Jobs[k.ID]
	if j == nil || j.Spec.Queue != k.Queue {
		return false
	}
	s.end(j, carobrock.JobCancelled, at)
	return true
}

// begin notes that a task of j was assigned.
func (s *State) begin(j *Job) {
	if j.State == carobrock.JobPending {
		j.State = carobrock.JobRunning
		s.Pending[j.Spec.Queue]--
	}
}

// end gives an open job its final state. Its runs stay recorded with their
// workers until they have ended.
func (s *State) end(j *Job, state carobrock.JobState, at int64) {
	if !j.IsOpen() {
		return
	}
	if j.State == carobrock.JobPending {
		s.Pending[j.Spec.Queue]--
	}
	j.State, j.EndedUnixMillis = state, at
	j.Spec.Steps, j.Spec.Payload, j.Occurrences = nil, "", nil
	s.ended = append(s.ended, j)
	for i, o := range s.Open {
		if o == j {
			s.Open = append(s.Open[:i], s.Open[i+1:]...)
			return
		}
	}
}

// expire forgets the jobs that ended before a time.
func (s *State) expire(before int64) {
	n := 0
	for n < len(s.ended) && s.ended[n].EndedUnixMillis < before {
		delete(s.Jobs, s.ended[n].Spec.ID)
		n++
	}
	s.ended = s.ended[n:]
}

// Snapshot implements carobrock.Machine.
func (l *Ledger) Snapshot() ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	saved := savedState{State: &l.state}
	for life, x := range l.state.Lives {
		saved.Lives = append(saved.Lives, savedLife{Life: life, Acked: x.Acked, Loose: l.state.looseRuns(life, x)})
	}
	return cbor.Marshal(&saved)
}

// Restore implements carobrock.Machine. It fails with ErrSnapshot.
func (l *Ledger) Restore(_ uint64, data []byte) error {
	saved := savedState{State: &State{}}
	if err := cbor.Unmarshal(data, &saved); err != nil {
		return eris.Wrap(ErrSnapshot, err.Error())
	}
	l.mu.Lock()
	l.state = *saved.State
	l.state.fill()
	l.state.index(saved.Lives)
	l.mu.Unlock()
	if l.OnChange != nil {
		l.OnChange()
	}
	return nil
}
