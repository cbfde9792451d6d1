package carobrock

// Capacity is an amount of VM resources.
type Capacity struct {
	// MilliCPU is CPU time in thousandths of a core.
	MilliCPU int64 `json:"milliCPU" yaml:"milliCPU"`
	// MemoryMB is memory in megabytes.
	MemoryMB int64 `json:"memoryMB" yaml:"memoryMB"`
	// Accelerators counts whole accelerators.
	Accelerators int64 `json:"accelerators" yaml:"accelerators"`
}

// Add returns the sum of c and d.
func (c Capacity) Add(d Capacity) Capacity {
	return Capacity{c.MilliCPU + d.MilliCPU, c.MemoryMB + d.MemoryMB, c.Accelerators + d.Accelerators}
}

// Sub returns c minus d. Components of the result may be negative.
func (c Capacity) Sub(d Capacity) Capacity {
	return Capacity{c.MilliCPU - d.MilliCPU, c.MemoryMB - d.MemoryMB, c.Accelerators - d.Accelerators}
}

// Fits reports whether no component of c exceeds that of available.
func (c Capacity) Fits(available Capacity) bool {
	return c.MilliCPU <= available.MilliCPU && c.MemoryMB <= available.MemoryMB && c.Accelerators <= available.Accelerators
}

// IsNegative reports whether any component of c is negative.
func (c Capacity) IsNegative() bool {
	return c.MilliCPU < 0 || c.MemoryMB < 0 || c.Accelerators < 0
}

// Service is a service endpoint on a worker.
type Service struct {
	// Pool names the pool to which the service belongs.
	Pool string `json:"pool"`
	// Address is the IP address and port at which the endpoint accepts
	// requests.
	Address string `json:"address"`
	// Slots is the maximum number of concurrent requests.
	Slots int `json:"slots"`
	// Connections is the maximum number of open connections.
	Connections int `json:"connections"`
	// Reserved is the part of the VM's capacity that is reserved for the
	// service.
	Reserved Capacity `json:"reserved"`
}

// Worker is the part of a worker's announcement that changes rarely.
type Worker struct {
	// Name identifies the worker.
	Name string `json:"worker"`
	// VM names the VM on which the worker runs.
	VM string `json:"vm"`
	// Incarnation is different after every start of the worker process.
	Incarnation string `json:"incarnation"`
	// AvailabilityZone is the availability zone of the VM.
	AvailabilityZone string `json:"availabilityZone"`
	// Rack is the rack of the VM.
	Rack string `json:"rack,omitempty"`
	// Address is the IP address and port at which the worker accepts task
	// requests.
	Address string `json:"address"`
	// Capacity is the total capacity of the VM that may be committed.
	Capacity Capacity `json:"capacity"`
	// Services lists the service endpoints on the worker.
	Services []Service `json:"services,omitempty"`
	// Leaving is set while the worker is shutting down. It then gets no new
	// work.
	Leaving bool `json:"leaving,omitempty"`
}

// TaskReport is a worker's report of one task attempt.
type TaskReport struct {
	// ID identifies the task.
	ID string `json:"id"`
	// Attempt is the number of the attempt.
	Attempt uint64 `json:"attempt"`
	// State is the state of the attempt on the worker.
	State ReportState `json:"state"`
	// Checkpoint names the newest checkpoint, if any.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Usage is the recent resource usage of the attempt. It lags behind the
	// actual usage.
	Usage Capacity `json:"usage"`
	// Reason explains why the attempt failed.
	Reason string `json:"reason,omitempty"`
}

// ReportState is the state of an attempt as reported by its worker.
type ReportState string

// Values of ReportState.
const (
	ReportRunning      ReportState = "running"
	ReportCheckpointed ReportState = "checkpointed"
	ReportStopped      ReportState = "stopped"
	ReportSucceeded    ReportState = "succeeded"
	ReportFailed       ReportState = "failed"
)

// Announcement is the periodic message of a worker. It carries membership and
// usage data and requests the renewal of the worker's leases.
type Announcement struct {
	Worker
	// SentMillis is the send time of the announcement on the worker's monotonic
	// clock, in milliseconds since the start of the worker's incarnation.
	SentMillis int64 `json:"sentMillis"`
	// Tasks lists all attempts that the worker has a record of.
	Tasks []TaskReport `json:"tasks,omitempty"`
	// ServiceUsage is the recent resource usage of the services. It lags behind
	// the actual usage.
	ServiceUsage []ServiceUsage `json:"serviceUsage,omitempty"`
}

// ServiceUsage is the recent resource usage of one service on a worker.
type ServiceUsage struct {
	// Pool names the pool to which the service belongs.
	Pool string `json:"pool"`
	// Usage is the resource usage.
	Usage Capacity `json:"usage"`
}

// Renewal is the response to an announcement.
type Renewal struct {
	// LeaseMillis is how long the worker's attempts may continue to run, in
	// milliseconds from the time at which the worker sent the announcement.
	LeaseMillis int64 `json:"leaseMillis"`
	// PeriodMillis is the time until the next announcement, in milliseconds.
	PeriodMillis int64 `json:"periodMillis"`
	// Forget lists finished attempts that the worker does not need to report
	// again.
	Forget []AttemptRef `json:"forget,omitempty"`
	// Stop lists attempts that the worker must stop because they are not, or no
	// longer, assigned to it.
	Stop []AttemptRef `json:"stop,omitempty"`
}

// AttemptRef identifies one attempt of a task.
type AttemptRef struct {
	// ID identifies the task.
	ID string `json:"id"`
	// Attempt is the number of the attempt.
	Attempt uint64 `json:"attempt"`
}
