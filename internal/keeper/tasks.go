package keeper

import (
	"errors"
	"fmt"
	"slices"

	"github.com/carobrock/carobrock"
)

func (k *Keeper) submitTask(c *carobrock.SubmitTask, res *carobrock.Result) {
	if err := carobrock.CheckTask(&c.Spec); err != nil {
		refuse(res, carobrock.CodeInvalid, err.Error())
		return
	}
	if t := k.state.Tasks[c.Spec.ID]; t != nil {
		if t.TaskSpec != c.Spec {
			refuse(res, carobrock.CodeConflict, fmt.Sprintf("there is another task %q", c.Spec.ID))
		}
		return
	}
	k.state.Tasks[c.Spec.ID] = &carobrock.Task{
		TaskSpec: c.Spec, State: carobrock.TaskState(k.chart.Initial), Submitted: res.Index,
	}
}

// changeTasks applies each change that is valid and lists the others.
func (k *Keeper) changeTasks(c *carobrock.TaskChanges, res *carobrock.Result) {
	for i := range c.Changes {
		ch := &c.Changes[i]
		if err := k.changeTask(ch); err != nil {
			res.Rejected = append(res.Rejected, carobrock.TaskRejection{ID: ch.ID, Event: ch.Event, Text: err.Error()})
		}
	}
}

var (
	errNoTask     = errors.New("there is no such task")
	errOldAttempt = errors.New("the attempt is not the current one")
	errIgnored    = errors.New("the event changes nothing in this state")
)

func (k *Keeper) changeTask(ch *carobrock.TaskChange) error {
	t := k.state.Tasks[ch.ID]
	if t == nil {
		return errNoTask
	}
	if !isAttemptCurrent(t, ch) {
		return errOldAttempt
	}
	next, ok := k.chart.Next(string(t.State), string(ch.Event))
	if !ok {
		return errIgnored
	}
	if ch.Event == carobrock.EventAssign {
		if err := k.assign(t, ch); err != nil {
			return err
		}
	}
	k.enter(t, carobrock.TaskState(next), ch)
	return nil
}

// isAttemptCurrent fences what is about an older attempt.
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

// assign commits the task's size on a VM, or says why it cannot.
func (k *Keeper) assign(t *carobrock.Task, ch *carobrock.TaskChange) error {
	w := k.state.Workers[ch.Worker]
	if w == nil {
		return fmt.Errorf("there is no worker %q", ch.Worker)
	}
	pool := k.pool(t.Pool)
	switch {
	case pool == nil || !pool.Allows(&w.Worker):
		return fmt.Errorf("pool %q does not allow worker %q", t.Pool, w.Name)
	case w.Leaving:
		return fmt.Errorf("worker %q is leaving", w.Name)
	case !k.isZoneUsable(w.AvailabilityZone):
		return fmt.Errorf("availability zone %q is not in use", w.AvailabilityZone)
	case k.isVMDown(w.VM):
		return fmt.Errorf("VM %q is down", w.VM)
	case !t.Size.Fits(k.free(&w.Worker)):
		return fmt.Errorf("worker %q has too little room", w.Name)
	}
	t.Attempt = ch.Attempt
	t.Worker, t.VM, t.Incarnation = w.Name, w.VM, w.Incarnation
	k.hold(t)
	return nil
}

// enter moves the task to a state and does what the event brings along.
func (k *Keeper) enter(t *carobrock.Task, next carobrock.TaskState, ch *carobrock.TaskChange) {
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
		k.release(t)
	}
	if t.IsFinal() {
		k.finish(t.ID)
	}
}

// hold commits the size of an attempt on its VM.
func (k *Keeper) hold(t *carobrock.Task) {
	use := k.committed[t.VM]
	k.committed[t.VM] = vmUse{size: use.size.Add(t.Size), attempts: use.attempts + 1}
}

// release frees the capacity of an attempt that cannot be running any more.
func (k *Keeper) release(t *carobrock.Task) {
	if !t.HoldsCapacity() {
		return
	}
	use := k.committed[t.VM]
	if use.attempts == 1 {
		delete(k.committed, t.VM)
	} else {
		k.committed[t.VM] = vmUse{size: use.size.Sub(t.Size), attempts: use.attempts - 1}
	}
	t.Worker, t.VM, t.Incarnation = "", "", ""
}

// finish drops the oldest finished tasks above the bound.
func (k *Keeper) finish(id string) {
	k.state.Finished = append(k.state.Finished, id)
	if len(k.state.Finished) > maxFinished {
		delete(k.state.Tasks, k.state.Finished[0])
		k.state.Finished = k.state.Finished[1:]
	}
}
