package dispatcher_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/dispatcher"
)

// maxResponse is the largest encoded response, workerLimit the size above which a
// worker drops a response.
const (
	maxResponse = 128 << 10
	workerLimit = 4 << 20
)

// encodedSize returns the size of a response in the platform's format.
func encodedSize(t *testing.T, r *carobrock.HeartbeatResponse) int {
	t.Helper()
	name := func(run carobrock.Run) string {
		return fmt.Sprintf("%s.%d.%d.%d", run.Task.Job, run.Task.Occurrence, run.Task.Step, run.Task.Index)
	}
	var start, stop, rate [][]any
	for _, s := range r.Start {
		start = append(start, []any{name(s.Run), s.Attempt, s.Payload, s.Checkpoint, s.Ticket})
	}
	for _, run := range r.Stop {
		stop = append(stop, []any{name(run), run.Attempt})
	}
	for _, p := range r.Pace {
		rate = append(rate, []any{name(p.Run), p.Attempt, p.Percent})
	}
	data, err := json.Marshal(map[string]any{
		"fencing_token": r.FencingToken, "hold_ms": r.LeaseMillis, "acked_through": r.AckedThrough, "retry_ms": r.RetryMillis,
		"heartbeat_url": r.NextAddress, "start": start, "stop": stop, "rate": rate,
	})
	if err != nil {
		t.Fatal(err)
	}
	return len(data)
}

// submitPayload submits a job of one step with a payload.
func (h *harness) submitPayload(id, payload string, step carobrock.Step) {
	h.t.Helper()
	_, err := h.d.SubmitJob(context.Background(), &carobrock.JobSpec{ID: id, Queue: queueKey, Payload: payload, Steps: []carobrock.Step{step}})
	h.must(err)
}

// Guards against a response to a heartbeat that holds all starts and is too large for
// the worker, which drops it together with the acknowledgement and the lease.
func TestManyStartsAreSpreadOverResponses(t *testing.T) {
	small := carobrock.Capacity{MilliCPU: 1, MemoryMB: 1}
	for _, test := range []struct {
		name    string
		payload string
		count   int
		// maxSize bounds the size of a response.
		maxSize int
	}{
		{"plain text", strings.Repeat("tow 450 m; ", 4000)[:4000], 2000, maxResponse},
		{"markup", strings.Repeat("<", 4000), 1500, maxResponse},
		{"control characters", strings.Repeat("\x01", 4000), 300, maxResponse},
		{"empty", "", 3000, maxResponse},
		{"start that fits only alone", strings.Repeat("<", 300_000), 3, workerLimit},
		{"start of the whole budget", strings.Repeat("x", 120_000), 3, maxResponse},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				defer h.stop()
				a := h.newWorker("a", 16)
				h.must(a.sendHeartbeat())
				service := oneCoreStep(1)
				service.Service = true
				h.submitJob("service", service)
				a.sendHeartbeatsFor(300 * time.Millisecond)
				h.submitPayload("wide", test.payload, carobrock.Step{Count: test.count, Size: small})
				time.Sleep(500 * time.Millisecond) // all are assigned, or most
				// An end is acknowledged beside the starts.
				a.report.Ends = []carobrock.RunEnd{{Number: 1, Task: carobrock.TaskRef{Job: "gone"}, Attempt: 1, Kind: carobrock.EndStopped}}
				for until := time.Now().Add(6 * time.Second); len(a.runNames()) < test.count+1 && time.Now().Before(until); {
					h.must(a.sendHeartbeat())
					r := a.lastResponse
					if size := encodedSize(t, r); size > test.maxSize {
						t.Fatalf("response of %d bytes with %d starts, at most %d are allowed", size, len(r.Start), test.maxSize)
					}
					if r.LeaseMillis == 0 || r.AckedThrough != 1 || r.RetryMillis <= 0 {
						t.Fatalf("lease %d ms, acknowledged %d, next heartbeat in %d ms", r.LeaseMillis, r.AckedThrough, r.RetryMillis)
					}
					time.Sleep(time.Duration(r.RetryMillis) * time.Millisecond)
				}
				names := map[string]bool{}
				for _, run := range a.runNames() {
					names[run] = true
				}
				if len(names) != test.count+1 || len(a.runNames()) != len(names) || !names["service.0#1"] {
					t.Errorf("%d runs with %d names, want %d with the service", len(a.runNames()), len(names), test.count+1)
				}
			})
		})
	}
}

// Guards against taking a start that was left for the next response for one that was
// sent: it could not be withdrawn from a worker that leaves before, and waited for the
// end of its lease.
func TestStartsLeftOutOfAResponseAreNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		a := h.newWorker("a", 16)
		h.must(a.sendHeartbeat())
		h.submitPayload("wide", strings.Repeat("<", 4000), carobrock.Step{Count: 200, Size: carobrock.Capacity{MilliCPU: 1, MemoryMB: 1}})
		time.Sleep(300 * time.Millisecond)
		h.must(a.sendHeartbeat())
		sent := len(a.runNames())
		if sent == 0 || sent == 200 {
			t.Fatalf("%d runs in the first response, want some of 200", sent)
		}
		b := h.newWorker("b", 16)
		h.must(b.sendHeartbeat())
		a.report.Leaving, a.report.RemainingMillis = true, 5000
		for range 40 {
			h.must(a.sendHeartbeat())
			h.must(b.sendHeartbeat())
			time.Sleep(20 * time.Millisecond)
		}
		if len(a.runNames()) != sent || len(b.runNames()) != 200-sent {
			t.Errorf("%d and %d runs, want %d on the leaving worker and the others elsewhere", len(a.runNames()), len(b.runNames()), sent)
		}
	})
}

// The stops of an ended worker are spread over responses as well.
func TestStopsOfAnEndedWorkerAreSpreadOverResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		defer h.stop()
		a := h.newWorker("a", 16)
		h.must(a.sendHeartbeat())
		next := h.newWorker("a", 16)
		next.report.Started = 2
		h.must(next.sendHeartbeat())
		for i := range 90_000 {
			a.report.Running = append(a.report.Running, carobrock.RunReport{Run: carobrock.Run{Task: carobrock.TaskRef{Job: "0123456789abcdef", Index: i}, Attempt: 1}})
		}
		r, err := h.d.Heartbeat(context.Background(), a.nextReport())
		h.must(err)
		if size := encodedSize(t, r); size > maxResponse || len(r.Stop) == 0 || r.RetryMillis <= 0 {
			t.Errorf("response of %d bytes with %d stops, next heartbeat in %d ms", size, len(r.Stop), r.RetryMillis)
		}
	})
}

// The length of a text is the one that encoding/json gives it.
func TestEncodedLength(t *testing.T) {
	texts := []string{"", "plain", `"\`, "<>&", "\b\f\n\r\t", "\x00\x1f\x7f", "é€😀", "\u2028\u2029", "\ufffd", "\xff", "a\xef", "\xef\xbf", "\xed\xa0\x80"}
	for c := range rune(0x3000) {
		texts = append(texts, string(c))
	}
	for _, s := range texts {
		data, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		if got := dispatcher.EncodedLength(s); got != len(data) {
			t.Errorf("length %d of %q, want %d", got, s, len(data))
		}
	}
}
