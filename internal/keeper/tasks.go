package keeper

import (
	"errors"
	"fmt"
	"slices"

	"github.com/carobrock/carobrock"
)

// submitTask adds a task. A repeated submission with the same content changes
// nothing.
func (k *Keeper) submitTask(c *carobrock.SubmitTask, res *carobrock.Result) {
	if err := carobrock.CheckTask(&c.Spec); err != nil {
		refuseCommand(res, carobrock.CodeInvalid, err.Error())
		return
	}
	if t := k.state.Tasks[c.Spec.ID]; t != nil {
		if t.TaskSpec != c.Spec {
			refuseCommand(res, carobrock.CodeConflict, fmt.Sprintf("there is another task %q", c.Spec.ID))
		}
		return
	}
	k.state.Tasks[c.Spec.ID] = &carobrock.Task{
		TaskSpec: c.Spec, State: carobrock.TaskState(k.chart.Initial), Submitted: res.Index,
	}
}

// changeTasks applies each valid change and lists the others as rejected.
func (k *Keeper) changeTasks(c *carobrock.TaskChanges, res *carobrock.Result) {
	for i := range c.Changes {
		ch := &c.Changes[i]
		if err := k.changeTask(ch); err != nil {
			res.Rejected = append(res.Rejected, carobrock.TaskRejection{ID: ch.ID, Event: ch.Event, Text: err.Error()})
		}
	}
}

var (
	errTaskNotFound = errors.New("there is no such task")
	errStaleAttempt = errors.New("the attempt is not the current one")
	errNoTransition = errors.New("the event changes nothing in this state")
)

func (k *Keeper) changeTask(ch *carobrock.TaskChange) error {
	t := k.state.Tasks[ch.ID]
	if t == nil {
		return errTaskNotFound
	}
	if !isAttemptCurrent(t, ch) {
		return errStaleAttempt
	}
	next, ok := k.chart.Next(string(t.State), string(ch.Event))
	if !ok {
		return errNoTransition
	}
	if ch.Event == carobrock.EventAssign {
		if err := k.assignTask(t, ch); err != nil {
			return err
		}
	}
	k.enterState(t, carobrock.TaskState(next), ch)
	return nil
}

// isAttemptCurrent reports whether ch refers to the current attempt of t, or to
// the next one for EventAssign. It rejects stale events.
func isAttemptCurrent(t *carobrock.Task, ch *carobrock.TaskChange) bool {
	switch ch.Event {
	case carobrock.EventCancel:
		return true
	case carobrock.EventAssign:
		return ch.Attempt == t.Attempt+1
	default:
		return ch.Attempt == t.Attempt
	}
}

// assignTask commits the size of the task on the worker's VM. It returns an error
// that explains why the assignment is not possible.
func (k *Keeper) assignTask(t *carobrock.Task, ch *carobrock.TaskChange) error {
	w := k.state.Workers[ch.Worker]
	if w == nil {
		return fmt.Errorf("there is no worker %q", ch.Worker)
	}
	pool := k.findPool(t.Pool)
	switch {
	case pool == nil || !pool.Allows(&w.Worker):
		return fmt.Errorf("pool %q does not allow worker %q", t.Pool, w.Name)
	case w.Leaving:
		return fmt.Errorf("worker %q is leaving", w.Name)
	case !k.isZoneUsable(w.AvailabilityZone):
		return fmt.Errorf("availability zone %q is not in use", w.AvailabilityZone)
	case k.isVMDown(w.VM):
		return fmt.Errorf("VM %q is down", w.VM)
	case !t.Size.Fits(k.freeCapacity(&w.Worker)):
		return fmt.Errorf("worker %q has too little room", w.Name)
	}
	t.Attempt = ch.Attempt
	t.Worker, t.VM, t.Incarnation = w.Name, w.VM, w.Incarnation
	k.commitCapacity(t)
	return nil
}

// enterState moves the task to a state and applies the side effects of the event.
func (k *Keeper) enterState(t *carobrock.Task, next carobrock.TaskState, ch *carobrock.TaskChange) {
	t.State = next
	t.Reason = ch.Reason
	switch ch.Event {
	case carobrock.EventCheckpointed:
		t.Checkpoint = ch.Checkpoint
	case carobrock.EventEvict:
		t.Evictions++
	case carobrock.EventCancel:
		t.CancelRequested = true
	case carobrock.EventFailed, carobrock.EventGaveUp:
		if ch.Worker != "" && !slices.Contains(t.FailedOn, ch.Worker) {
			t.FailedOn = append(t.FailedOn, ch.Worker)
		}
	}
	if next == carobrock.TaskQueued || t.IsFinal() {
		k.releaseCapacity(t)
	}
	if t.IsFinal() {
		k.recordFinishedTask(t.ID)
	}
}

// commitCapacity commits the size of the task on its VM.
func (k *Keeper) commitCapacity(t *carobrock.Task) {
	commitment := k.committed[t.VM]
	k.committed[t.VM] = vmCommitment{size: commitment.size.Add(t.Size), attempts: commitment.attempts + 1}
}

// releaseCapacity frees the capacity of an attempt that can no longer be running.
func (k *Keeper) releaseCapacity(t *carobrock.Task) {
	if !t.HoldsCapacity() {
		return
	}
	commitment := k.committed[t.VM]
	if commitment.attempts == 1 {
		delete(k.committed, t.VM)
	} else {
		k.committed[t.VM] = vmCommitment{size: commitment.size.Sub(t.Size), attempts: commitment.attempts - 1}
	}
	t.Worker, t.VM, t.Incarnation = "", "", ""
}

// recordFinishedTask records a finished task and deletes the oldest finished
// task if there are more than maxFinished.
func (k *Keeper) recordFinishedTask(id string) {
	k.state.Finished = append(k.state.Finished, id)
	if len(k.state.Finished) > maxFinished {
		delete(k.state.Tasks, k.state.Finished[0])
		k.state.Finished = k.state.Finished[1:]
	}
}
