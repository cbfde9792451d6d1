package launcher

import (
	"context"
	"net"

	"github.com/rs/zerolog"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/emulator"
	"github.com/carobrock/carobrock/internal/gatekeeper"
	"github.com/carobrock/carobrock/pkg/client"
)

// milliCPUPerCore is the number of milliCPU units per core.
const milliCPUPerCore = 1000

// NewWorker opens the listeners of an emulated worker. It fails with ErrSettings
// and then leaves nothing open.
func NewWorker(s *WorkerSettings, logger zerolog.Logger) (*emulator.Worker, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	token, err := readToken(s.TokenFile)
	if err != nil {
		return nil, err
	}
	taskListener, err := listen("--listen", s.Listen)
	if err != nil {
		return nil, err
	}
	var serviceListener net.Listener
	if s.Pool != "" {
		if serviceListener, err = listen("--service", s.Service); err != nil {
			_ = taskListener.Close()
			return nil, err
		}
	}
	vm := s.VM
	if vm == "" {
		vm = s.Name
	}
	w := &emulator.Worker{
		Worker: carobrock.Worker{
			Name: s.Name, VM: vm, Incarnation: gatekeeper.NewID(), AvailabilityZone: s.AvailabilityZone, Rack: s.Rack,
			Capacity: carobrock.Capacity{MilliCPU: s.Cores * milliCPUPerCore, MemoryMB: s.MemoryMB, Accelerators: s.Accelerators},
		},
		TaskListener: taskListener, ServiceListener: serviceListener, ServicePool: s.Pool, Slots: s.Slots, Connections: s.Connections,
		ServiceTime: s.ServiceTime, Announcer: &client.Client{Addresses: s.Announce, Token: token}, Logger: logger,
	}
	w.Faults.FailTasks.Store(s.FailTasks)
	w.Prepare()
	return w, nil
}

// RunWorker runs a worker until ctx ends.
func RunWorker(ctx context.Context, w *emulator.Worker, logger zerolog.Logger) error {
	logger.Info().Str("worker", w.Name).Str("orders", w.Address).Msg("worker: started")
	return w.Run(ctx)
}
