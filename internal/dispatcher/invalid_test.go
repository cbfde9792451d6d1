package dispatcher_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
)

const unreadable = "i-\xff\xfe" // no UTF-8

// Guards against the end of all placement after heartbeats of another writer whose
// texts cannot be decoded: the loss of its first incarnation was part of every later
// command, and the replicas dropped all of them.
func TestUnreadableHeartbeatStopsNoPlacement(t *testing.T) {
	task := carobrock.TaskRef{Job: "other"}
	for _, test := range []struct {
		name   string
		change func(r *carobrock.WorkerReport)
	}{
		{"name", func(r *carobrock.WorkerReport) { r.Name = unreadable }},
		{"machine", func(r *carobrock.WorkerReport) { r.Machine = unreadable }},
		{"pool", func(r *carobrock.WorkerReport) { r.Pool = unreadable }},
		{"availability zone", func(r *carobrock.WorkerReport) { r.AvailabilityZone = unreadable }},
		{"rack", func(r *carobrock.WorkerReport) { r.Rack = unreadable }},
		{"label", func(r *carobrock.WorkerReport) { r.Labels = []string{unreadable} }},
		{"checkpoint of a run", func(r *carobrock.WorkerReport) {
			r.Running = []carobrock.RunReport{{Run: carobrock.Run{Task: task, Attempt: 1}, Checkpoint: unreadable}}
		}},
		{"task of a run", func(r *carobrock.WorkerReport) {
			r.Running = []carobrock.RunReport{{Run: carobrock.Run{Task: carobrock.TaskRef{Job: unreadable}, Attempt: 1}}}
		}},
		{"task of an end", func(r *carobrock.WorkerReport) {
			r.Ends = []carobrock.RunEnd{{Number: 1, Task: carobrock.TaskRef{Job: unreadable}, Attempt: 1, Kind: carobrock.EndFailed}}
		}},
		{"checkpoint of an end", func(r *carobrock.WorkerReport) {
			r.Ends = []carobrock.RunEnd{{Number: 1, Task: task, Attempt: 1, Kind: carobrock.EndStopped, Checkpoint: unreadable}}
		}},
		{"capacity out of range", func(r *carobrock.WorkerReport) { r.Capacity.MilliCPU = 1 << 62 }},
		{"start in the far future on the machine of a worker", func(r *carobrock.WorkerReport) {
			r.Machine, r.Started = "m-b", r.Started+time.Now().Add(24*time.Hour).UnixMilli()
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.stop()
				worker := h.newWorker("b", 4)
				h.must(worker.sendHeartbeat())
				for started := range int64(2) {
					other := h.newWorker("a", 0).nextReport()
					other.Started += started
					test.change(other)
					if _, err := h.d.Heartbeat(context.Background(), other); !errors.Is(err, carobrock.ErrRefused) {
						t.Errorf("heartbeat %d of the other writer: error %v, want ErrRefused", started, err)
					}
					time.Sleep(2 * time.Second)
				}
				h.submitJob("job", oneCoreStep(2))
				if started := h.sendHeartbeats(50, worker); len(started) != 2 {
					t.Errorf("started %v, want both tasks of the job", started)
				}
			})
		})
	}
}

// Guards against invalid requests that fail the valid ones of the same command.
func TestInvalidRequestFailsNoOther(t *testing.T) {
	for _, test := range []struct {
		name string
		call func(ctx context.Context, c carobrock.JobControl) error
	}{
		{"zone", func(ctx context.Context, c carobrock.JobControl) error {
			return c.SetZone(ctx, carobrock.ZoneChange{Name: unreadable, OutOfService: true})
		}},
		{"payload of a job", func(ctx context.Context, c carobrock.JobControl) error {
			_, err := c.SubmitJob(ctx, &carobrock.JobSpec{ID: "x", Queue: queueKey, Payload: unreadable, Steps: []carobrock.Step{oneCoreStep(1)}})
			return err
		}},
		{"image of a job", func(ctx context.Context, c carobrock.JobControl) error {
			_, err := c.SubmitJob(ctx, &carobrock.JobSpec{ID: "x", Queue: queueKey, Steps: []carobrock.Step{{Count: 1, Image: unreadable}}})
			return err
		}},
		{"size of a job out of range", func(ctx context.Context, c carobrock.JobControl) error {
			_, err := c.SubmitJob(ctx, &carobrock.JobSpec{ID: "x", Queue: queueKey, Steps: []carobrock.Step{{Count: 1, Size: carobrock.Capacity{MilliCPU: 1 << 62}}}})
			return err
		}},
		{"ID of a cancelled job", func(ctx context.Context, c carobrock.JobControl) error {
			_, err := c.CancelJob(ctx, carobrock.JobQuery{JobKey: carobrock.JobKey{ID: unreadable, Queue: queueKey}})
			return err
		}},
		{"queue of a configuration", func(ctx context.Context, c carobrock.JobControl) error {
			return c.Configure(ctx, &carobrock.Configuration{Version: 2, Pools: []carobrock.WorkerPool{{Name: "pool"}},
				Queues: []carobrock.Queue{{Name: unreadable, Host: "h", PathPrefix: "/q/", Pool: "pool", TimeoutMillis: 1000}}})
		}},
		{"machine of a wave", func(ctx context.Context, c carobrock.JobControl) error {
			return c.StartWave(ctx, &carobrock.MaintenanceWave{Number: 1, Machines: []string{unreadable}})
		}},
		{"more machines in a wave than a replica decodes", func(ctx context.Context, c carobrock.JobControl) error {
			return c.StartWave(ctx, &carobrock.MaintenanceWave{Number: 1, Machines: make([]string, 200_000)})
		}},
	} {
		for _, path := range []string{"at the leader", "through another process"} {
			t.Run(test.name+" "+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					h := newHarness(t)
					defer h.stop()
					control := carobrock.JobControl(h.d)
					if path != "at the leader" {
						control = h.controlThrough(time.Millisecond)
					}
					calls := conc.NewWaitGroup()
					for range 3 { // so that the calls wait for one command
						calls.Go(func() { h.cancelJob("none") })
					}
					calls.Go(func() {
						ctx, cancel := context.WithTimeout(context.Background(), time.Second)
						defer cancel()
						if err := test.call(ctx, control); !errors.Is(err, carobrock.ErrRefused) {
							t.Errorf("error %v, want ErrRefused", err)
						}
					})
					calls.Go(func() {
						time.Sleep(time.Millisecond)
						h.submitJob("job", oneCoreStep(1))
					})
					calls.Wait()
					if s := h.jobState("job"); s != carobrock.JobPending {
						t.Errorf("the other job is %q, want pending", s)
					}
				})
			})
		}
	}
}
