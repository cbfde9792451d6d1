package bookkeeper_test

import (
	"fmt"
	"testing"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/bookkeeper"
)

// newLoadedStateMachine returns a state machine with the given numbers of queues and
// open jobs. The jobs have 20 tasks each, of which 5 run on 350 workers.
func newLoadedStateMachine(b *testing.B, queues, jobs int) *bookkeeper.StateMachine {
	b.Helper()
	m := &bookkeeper.StateMachine{}
	m.Prepare()
	c := newQueues(1, queues)
	for i := range jobs {
		id := fmt.Sprintf("%016x", i)
		step := carobrock.Step{Count: 20, Size: carobrock.Capacity{MilliCPU: 1000, MemoryMB: 500}, Image: "image", EstimateMillis: 1000}
		c.Submit = append(c.Submit, carobrock.JobSpec{ID: id, Queue: c.Configuration.Queues[i*queues/jobs].Key(), Payload: "payload", Steps: []carobrock.Step{step}})
		for k := range 5 {
			w := carobrock.WorkerIncarnation{Name: fmt.Sprint("w", (5*i+k)%350), Started: 1}
			c.Assign = append(c.Assign, carobrock.TaskAssignment{Task: carobrock.TaskRef{Job: id, Index: k}, Attempt: 1, Incarnation: w})
		}
	}
	m.Apply(1, encodeCommand(b, c))
	return m
}

func encodeCommand(b *testing.B, c *carobrock.JobCommand) []byte {
	b.Helper()
	data, err := c.Encode()
	if err != nil {
		b.Fatal(err)
	}
	return data
}

// BenchmarkApplyConfiguration measures a command that replaces the configuration,
// including its decoding.
func BenchmarkApplyConfiguration(b *testing.B) {
	for _, queues := range []int{245, 1645, 4445, 20000} {
		for _, jobs := range []int{1, 1000, 4000} {
			b.Run(fmt.Sprintf("queues=%d/jobs=%d", queues, jobs), func(b *testing.B) {
				m := newLoadedStateMachine(b, queues, jobs)
				for version := int64(2); b.Loop(); version++ {
					b.StopTimer()
					data := encodeCommand(b, newQueues(version, queues))
					b.StartTimer()
					m.Apply(1, data)
				}
			})
		}
	}
}

// BenchmarkSnapshot measures the encoding of the state.
func BenchmarkSnapshot(b *testing.B) {
	for _, queues := range []int{245, 4445, 20000} {
		for _, jobs := range []int{1000, 4000} {
			b.Run(fmt.Sprintf("queues=%d/jobs=%d", queues, jobs), func(b *testing.B) {
				m := newLoadedStateMachine(b, queues, jobs)
				for b.Loop() {
					data, err := m.Snapshot()
					if err != nil {
						b.Fatal(err)
					}
					b.ReportMetric(float64(len(data)), "bytes")
				}
			})
		}
	}
}
