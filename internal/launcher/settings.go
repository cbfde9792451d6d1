package launcher

import (
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/encoder"
	"github.com/carobrock/carobrock/internal/operator"
	"github.com/carobrock/carobrock/internal/placer"
)

// ErrSettings reports that a setting is invalid, or that a file, directory or
// address that it names cannot be used. Nothing was changed.
var ErrSettings = eris.New("launcher: invalid settings")

// TokenSettings name the files that contain the bearer tokens of the roles.
type TokenSettings struct {
	// OperatorTokenFile is the file with the operators' token.
	OperatorTokenFile string `long:"operatorTokenFile" env:"CAROBROCK_OPERATOR_TOKEN_FILE" description:"file with the operators' bearer token (empty: no token needed)"`
	// WorkerTokenFile is the file with the workers' token.
	WorkerTokenFile string `long:"workerTokenFile" env:"CAROBROCK_WORKER_TOKEN_FILE" description:"file with the workers' bearer token (empty: no token needed)"`
	// MonitoringTokenFile is the file with the monitoring system's token.
	MonitoringTokenFile string `long:"monitoringTokenFile" env:"CAROBROCK_MONITORING_TOKEN_FILE" description:"file with the monitoring group's bearer token (empty: no token needed)"`
}

// ControlSettings are the settings of a control replica.
type ControlSettings struct {
	TokenSettings
	// Name is the replica's name.
	Name string `long:"name" env:"CAROBROCK_NAME" required:"true" description:"name of this replica, as in --members"`
	// AvailabilityZone is where the replica runs.
	AvailabilityZone string `long:"availabilityZone" env:"CAROBROCK_AVAILABILITY_ZONE" description:"availability zone of this VM"`
	// Listen is the address for other processes of carobrock.
	Listen string `long:"listen" env:"CAROBROCK_LISTEN" default:"127.0.0.1:7100" description:"IP:port for other carobrock processes"`
	// Operations is the address for operators, workers and monitoring.
	Operations string `long:"operations" env:"CAROBROCK_OPERATIONS" default:"127.0.0.1:7200" description:"IP:port for operators, workers and monitoring"`
	// DataDir is the data directory.
	DataDir string `long:"dataDir" env:"CAROBROCK_DATA_DIR" required:"true" description:"data folder of this replica"`
	// Members lists the replicas that form the group as NAME=IP:PORT.
	Members []string `long:"members" env:"CAROBROCK_MEMBERS" env-delim:"," description:"NAME=IP:PORT of each replica that forms the group; not needed once it is formed"`
	// ElectionTimeout is the minimum time without a leader before an election.
	ElectionTimeout time.Duration `long:"electionTimeout" env:"CAROBROCK_ELECTION_TIMEOUT" default:"600ms" description:"shortest time without a leader before an election, 100ms to 1m"`
	// Policy is the name of the placement policy.
	Policy string `long:"policy" env:"CAROBROCK_POLICY" default:"recordsOffice" description:"placement of tasks: recordsOffice (batch throughput first), envases (service latency first) or firstFit"`
	// SnapshotEvery is the number of log entries between snapshots.
	SnapshotEvery uint64 `long:"snapshotEvery" env:"CAROBROCK_SNAPSHOT_EVERY" default:"5000" description:"log entries between snapshots"`
}

// GatewaySettings are the settings of a gateway.
type GatewaySettings struct {
	TokenSettings
	// Name is the gateway's name.
	Name string `long:"name" env:"CAROBROCK_NAME" required:"true" description:"name of this gateway"`
	// AvailabilityZone is where the gateway runs.
	AvailabilityZone string `long:"availabilityZone" env:"CAROBROCK_AVAILABILITY_ZONE" description:"availability zone of this VM"`
	// Listen is the address for callers.
	Listen string `long:"listen" env:"CAROBROCK_LISTEN" default:"127.0.0.1:8080" description:"IP:port for callers"`
	// Operations is the address for operators, workers and monitoring.
	Operations string `long:"operations" env:"CAROBROCK_OPERATIONS" default:"127.0.0.1:7300" description:"IP:port for operators, workers and monitoring"`
	// Replicas are the peer addresses of the control replicas.
	Replicas []string `long:"replicas" env:"CAROBROCK_REPLICAS" env-delim:"," required:"true" description:"IP:port of each control replica"`
	// StaleAfter is the time without confirmation of the configuration after which
	// requests are refused.
	StaleAfter time.Duration `long:"staleAfter" env:"CAROBROCK_STALE_AFTER" default:"5s" description:"time without confirmation after which requests are refused, 1s to 1m"`
	// DrainDelay is how long new connections are accepted after SIGTERM.
	DrainDelay time.Duration `long:"drainDelay" env:"CAROBROCK_DRAIN_DELAY" default:"2s" description:"time that new connections are still served after SIGTERM"`
	// MaxBodyBytes limits a request body.
	MaxBodyBytes int64 `long:"maxBodyBytes" env:"CAROBROCK_MAX_BODY_BYTES" default:"16777216" description:"largest request body in bytes"`
	// MaxExpectedWait limits the expected wait for a slot. A request with a longer
	// one is refused at once.
	MaxExpectedWait time.Duration `long:"maxExpectedWait" env:"CAROBROCK_MAX_EXPECTED_WAIT" default:"100ms" description:"expected wait for a slot above which a request is refused at once, 1ms to 1m"`
	// MaxQueueWait limits the wait of a request for a slot.
	MaxQueueWait time.Duration `long:"maxQueueWait" env:"CAROBROCK_MAX_QUEUE_WAIT" default:"1s" description:"longest wait for a slot, 1ms to 1m"`
	// MaxQueue limits the number of requests that wait for one pool.
	MaxQueue int `long:"maxQueue" env:"CAROBROCK_MAX_QUEUE" default:"1024" description:"most requests that wait for one pool"`
}

// WorkerSettings are the settings of an emulated worker.
type WorkerSettings struct {
	// Name is the worker's name.
	Name string `long:"name" env:"CAROBROCK_NAME" required:"true" description:"name of this worker"`
	// VM is the name of the VM. If empty, it is the worker's name.
	VM string `long:"vm" env:"CAROBROCK_VM" description:"name of the VM (default: the worker's name)"`
	// AvailabilityZone is the availability zone of the VM.
	AvailabilityZone string `long:"availabilityZone" env:"CAROBROCK_AVAILABILITY_ZONE" default:"az1" description:"availability zone of this VM"`
	// Rack is the rack of the VM.
	Rack string `long:"rack" env:"CAROBROCK_RACK" description:"rack of this VM"`
	// Listen is the address for requests to start, stop, checkpoint or throttle tasks.
	Listen string `long:"listen" env:"CAROBROCK_LISTEN" default:"127.0.0.1:0" description:"IP:port for task orders"`
	// Service is the address of the service.
	Service string `long:"service" env:"CAROBROCK_SERVICE" default:"127.0.0.1:0" description:"IP:port of the service"`
	// Pool is the pool of the service. If empty, the worker has no service.
	Pool string `long:"pool" env:"CAROBROCK_POOL" description:"pool of the service (empty: no service)"`
	// Slots limits the concurrent requests to the service, Connections the open
	// connections.
	Slots       int `long:"slots" env:"CAROBROCK_SLOTS" default:"8" description:"most requests at a time"`
	Connections int `long:"connections" env:"CAROBROCK_CONNECTIONS" default:"64" description:"most connections"`
	// ServiceTime is how long a request takes.
	ServiceTime time.Duration `long:"serviceTime" env:"CAROBROCK_SERVICE_TIME" default:"2ms" description:"time that a request takes"`
	// Cores, MemoryMB and Accelerators are the VM's capacity.
	Cores        int64 `long:"cores" env:"CAROBROCK_CORES" default:"16" description:"cores of the VM"`
	MemoryMB     int64 `long:"memoryMB" env:"CAROBROCK_MEMORY_MB" default:"65536" description:"memory of the VM in MB"`
	Accelerators int64 `long:"accelerators" env:"CAROBROCK_ACCELERATORS" default:"0" description:"accelerators of the VM"`
	// Announce lists the operations addresses of the gateways or replicas to which
	// the worker announces itself.
	Announce []string `long:"announce" env:"CAROBROCK_ANNOUNCE" env-delim:"," required:"true" description:"operations IP:port of gateways or replicas"`
	// TokenFile is the file with the workers' token.
	TokenFile string `long:"tokenFile" env:"CAROBROCK_TOKEN_FILE" description:"file with the workers' bearer token"`
	// FailTasks makes every task fail.
	FailTasks bool `long:"failTasks" env:"CAROBROCK_FAIL_TASKS" description:"fail every task"`
}

// settingsError returns an ErrSettings with a formatted message.
func settingsError(format string, args ...any) error {
	return eris.Wrap(ErrSettings, fmt.Sprintf(format, args...))
}

// Check returns an ErrSettings for the first invalid setting, or nil.
func (s *ControlSettings) Check() error {
	if err := carobrock.CheckName("--name", s.Name); err != nil {
		return settingsError("%v", err)
	}
	if err := checkAddresses("--listen", s.Listen); err != nil {
		return err
	}
	if err := checkAddresses("--operations", s.Operations); err != nil {
		return err
	}
	if s.ElectionTimeout < 100*time.Millisecond || s.ElectionTimeout > time.Minute {
		return settingsError("--electionTimeout %s is not in 100ms to 1m", s.ElectionTimeout)
	}
	if s.SnapshotEvery == 0 {
		return settingsError("--snapshotEvery must be positive")
	}
	if _, err := s.newPlacer(); err != nil {
		return err
	}
	_, err := s.initialMembers()
	return err
}

// newPlacer returns the placer for the placement policy.
func (s *ControlSettings) newPlacer() (carobrock.Placer, error) {
	switch s.Policy {
	case "recordsOffice":
		return &placer.InterferenceAware{Model: &placer.Interference{}, Weights: placer.ThroughputWeights()}, nil
	case "envases":
		return &placer.InterferenceAware{Model: &placer.Interference{}, Weights: placer.LatencyWeights()}, nil
	case "firstFit":
		return placer.FirstFit{}, nil
	default:
		return nil, settingsError("--policy %q is not recordsOffice, envases or firstFit", s.Policy)
	}
}

// initialMembers parses Members. It returns the members that form the group.
func (s *ControlSettings) initialMembers() ([]*encoder.Member, error) {
	var out []*encoder.Member
	found := false
	names := map[string]bool{}
	for _, m := range s.Members {
		if m == "" {
			continue // the environment variable is set but empty
		}
		name, address, ok := strings.Cut(m, "=")
		if !ok || name == "" {
			return nil, settingsError("--members %q is not NAME=IP:PORT", m)
		}
		if err := checkAddresses("--members", address); err != nil {
			return nil, err
		}
		if names[name] {
			return nil, settingsError("--members names %q twice", name)
		}
		names[name] = true
		found = found || name == s.Name
		out = append(out, &encoder.Member{Name: name, Address: address})
	}
	if len(out) > 0 && !found {
		return nil, settingsError("--members does not name this replica, %q", s.Name)
	}
	return out, nil
}

// Check returns an ErrSettings for the first invalid setting, or nil.
func (s *GatewaySettings) Check() error {
	if err := carobrock.CheckName("--name", s.Name); err != nil {
		return settingsError("%v", err)
	}
	if err := checkAddresses("--listen", s.Listen); err != nil {
		return err
	}
	if err := checkAddresses("--operations", s.Operations); err != nil {
		return err
	}
	if err := checkAddresses("--replicas", s.Replicas...); err != nil {
		return err
	}
	if s.StaleAfter < time.Second || s.StaleAfter > time.Minute {
		return settingsError("--staleAfter %s is not in 1s to 1m", s.StaleAfter)
	}
	if s.MaxQueueWait < time.Millisecond || s.MaxQueueWait > time.Minute {
		return settingsError("--maxQueueWait %s is not in 1ms to 1m", s.MaxQueueWait)
	}
	if s.MaxExpectedWait < time.Millisecond || s.MaxExpectedWait > time.Minute {
		return settingsError("--maxExpectedWait %s is not in 1ms to 1m", s.MaxExpectedWait)
	}
	if s.DrainDelay < 0 || s.MaxBodyBytes <= 0 || s.MaxQueue <= 0 {
		return settingsError("--drainDelay must not be negative, --maxBodyBytes and --maxQueue must be positive")
	}
	return nil
}

// Check returns an ErrSettings for the first invalid setting, or nil.
func (s *WorkerSettings) Check() error {
	if err := carobrock.CheckName("--name", s.Name); err != nil {
		return settingsError("%v", err)
	}
	if err := checkAddresses("--listen", s.Listen); err != nil {
		return err
	}
	if err := checkAddresses("--service", s.Service); err != nil {
		return err
	}
	if s.Cores < 0 || s.MemoryMB < 0 || s.Accelerators < 0 || s.Slots < 0 || s.Connections < 0 {
		return settingsError("--cores, --memoryMB, --accelerators, --slots and --connections must not be negative")
	}
	return checkAddresses("--announce", s.Announce...)
}

// checkAddresses returns an error for the first address that is not IP:PORT, or if
// there is none.
func checkAddresses(flag string, addresses ...string) error {
	if len(addresses) == 0 {
		return settingsError("%s is empty", flag)
	}
	for _, a := range addresses {
		host, port, err := net.SplitHostPort(a)
		if err != nil || net.ParseIP(host) == nil || port == "" {
			return settingsError("%s %q is not IP:PORT", flag, a)
		}
	}
	return nil
}

// readTokens reads the token files.
func (s *TokenSettings) readTokens() (operator.Tokens, error) {
	var t operator.Tokens
	files := []struct {
		file  string
		token *string
	}{
		{s.OperatorTokenFile, &t.OperatorToken},
		{s.WorkerTokenFile, &t.WorkerToken},
		{s.MonitoringTokenFile, &t.MonitoringToken},
	}
	for _, f := range files {
		token, err := readToken(f.file)
		if err != nil {
			return t, err
		}
		*f.token = token
	}
	return t, nil
}

// readToken returns the token in a file, or the empty string if file is empty.
func readToken(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return "", settingsError("token file: %v", err)
	}
	token := strings.TrimSpace(string(data))
	if token == "" {
		return "", settingsError("token file %s is empty", file)
	}
	return token, nil
}

// listen opens a TCP listener. It fails with ErrSettings, naming the setting.
func listen(setting, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, settingsError("%s: %v", setting, err)
	}
	return l, nil
}
