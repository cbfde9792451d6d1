package carobrock_test

import (
	"testing"

	"github.com/carobrock/carobrock"
)

// Guards against announcements whose numbers overflow sums of capacities, or slots.
func TestOddAnnouncementsAreRefused(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(w *carobrock.Worker)
		ok     bool
	}{
		{"plain", func(*carobrock.Worker) {}, true},
		{"capacity beyond all bounds", func(w *carobrock.Worker) { w.Capacity.MilliCPU = 1 << 62 }, false},
		{"negative capacity", func(w *carobrock.Worker) { w.Capacity.MemoryMB = -1 }, false},
		{"reservation beyond all bounds", func(w *carobrock.Worker) { w.Services[0].Reserved.Accelerators = 1 << 62 }, false},
		{"slots beyond all bounds", func(w *carobrock.Worker) { w.Services[0].Slots = 1 << 62 }, false},
		{"connections beyond all bounds", func(w *carobrock.Worker) { w.Services[0].Connections = 1 << 62 }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := &carobrock.Worker{
				Name: "w1", VM: "vm1", Incarnation: "1", AvailabilityZone: "az1", Capacity: carobrock.Capacity{MilliCPU: 4000, MemoryMB: 1000},
				Services: []carobrock.Service{{Pool: "p", Address: "10.0.0.9:80", Slots: 8, Connections: 64}},
			}
			test.change(w)
			if err := carobrock.CheckWorker(w); (err == nil) != test.ok {
				t.Errorf("error %v", err)
			}
		})
	}
}

// Guards against tasks whose sizes overflow sums of capacities.
func TestOddTasksAreRefused(t *testing.T) {
	for _, task := range []carobrock.TaskSpec{
		{ID: "a", Pool: "p", Size: carobrock.Capacity{MilliCPU: 1 << 62}},
		{ID: "a", Pool: "p", RunMillis: 1 << 62},
		{ID: "a", Pool: "p", Size: carobrock.Capacity{MemoryMB: -1}},
	} {
		if carobrock.CheckTask(&task) == nil {
			t.Errorf("%+v was accepted", task)
		}
	}
}
