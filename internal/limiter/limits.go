package limiter

import (
	"cmp"
	"time"
)

// Limits are the limits of one listener. All are above what a client within the
// documented limits of the platform reaches; see docs/operators.md.
type Limits struct {
	// MaxConns is the number of open connections, MaxConnsPerSource that from one IP
	// address. A load balancer may connect all callers from one address.
	MaxConns, MaxConnsPerSource int
	// MaxRequests is the number of requests in flight.
	MaxRequests int
	// MaxHeaderBytes and MaxHeaderFields limit the header of a request.
	MaxHeaderBytes, MaxHeaderFields int
	// MaxBodyBytes limits the body of a request.
	MaxBodyBytes int64
	// HeaderTimeout is the time from the start of a connection, or from the first byte
	// of a further request, to the end of the header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may be idle between requests.
	IdleTimeout time.Duration
	// TransferGrace is the time for a body or a response of any size.
	// MinBytesPerSecond is the rate at which the rest must be transferred.
	TransferGrace     time.Duration
	MinBytesPerSecond int64
	// MaxPipelined is the number of requests in a row that may be sent before the
	// responses to the previous ones.
	MaxPipelined int
	// HeldBytes is the memory for headers, bodies and large responses.
	HeldBytes int64
	// DecodeBytes is the memory for documents that are being decoded. A document that
	// needs more is decoded while no other is, up to MaxDocumentBytes.
	DecodeBytes int64
	// MaxDocumentBytes is the memory that one document may take when it is decoded.
	MaxDocumentBytes int64
}

// PeerLimits are the limits of the listener for other carobrock processes.
type PeerLimits struct {
	// MaxSessions is the number of open sessions.
	MaxSessions int
	// MaxStreams is the number of open streams of all sessions, MaxSessionStreams that
	// of one.
	MaxStreams, MaxSessionStreams int
	// HeldBytes is the memory for frames that are being received or processed. It also
	// limits the size of one frame.
	HeldBytes int64
	// DecodeBytes is the memory for messages and calls that are being decoded.
	DecodeBytes int64
	// MaxDocumentBytes is the memory that one message may take when it is decoded.
	MaxDocumentBytes int64
}

// Plan holds the limits of the listeners of a process.
type Plan struct {
	Callers, Readiness, Control Limits
	Peers                       PeerLimits
}

// Memory and descriptors that are assumed if the settings do not say.
const (
	defaultMemoryMB       = 512
	defaultMaxDescriptors = 4096
)

// Shares of the descriptors. The rest, 12 %, is for files and outgoing connections.
const (
	callerConnsShare    = 0.30 // 300 connections of callers with bursts of 2.6 times are 780 of 4,100
	controlConnsShare   = 0.50 // at most 0.4 of the descriptors connect workers to one node
	readinessConnsShare = 0.02
	peerSessionsShare   = 0.06 // fleets have 44 nodes, each with one session
	// sourceShare is the part of a listener's connections that one address may have.
	sourceShare = 0.75
)

// Limits of single requests.
const (
	// DefaultMaxHeaderBytes, DefaultMaxBodyBytes, DefaultHeaderTimeout and
	// DefaultIdleTimeout are the platform's limits for callers where the configuration
	// does not set others.
	DefaultMaxHeaderBytes = 16_384
	DefaultMaxBodyBytes   = 262_144
	DefaultHeaderTimeout  = 3 * time.Second
	DefaultIdleTimeout    = 15 * time.Second
	// maxControlBodyBytes is the platform's limit for heartbeats and configurations.
	maxControlBodyBytes = 4 << 20
	// controlIdleTimeout is long because workers and operators keep connections open.
	controlIdleTimeout = 60 * time.Second
	// controlHeaderTimeout allows for a link of 2 Mbit/s that transfers a
	// configuration at the same time.
	controlHeaderTimeout = 5 * time.Second
	// maxHeaderFields is several times the number that proxies and clients send. A field
	// takes about 160 bytes of memory however short it is.
	maxHeaderFields = 256
	// transferGrace exceeds the longest time for which a client waits for a response: 1 s
	// for workers and operators, about 3 s for callers.
	transferGrace = 5 * time.Second
	// minBytesPerSecond is a sixtieth of the slowest link, 2 Mbit/s.
	minBytesPerSecond = 4096
	// maxPipelined allows for clients that pipeline. Common HTTP clients do not.
	maxPipelined = 16
)

// Derive returns the limits for a VM with the given memory and number of descriptors.
// Zero means that the settings do not say.
func Derive(memoryMB int64, maxDescriptors int) Plan {
	memory := cmp.Or(memoryMB, defaultMemoryMB) << 20
	descriptors := float64(cmp.Or(maxDescriptors, defaultMaxDescriptors))
	conns := func(share float64) int { return max(4, int(share*descriptors)) }
	// All budgets together are about half of the memory: the heap grows by as much again
	// before a garbage collection, up to the collector's limit of three quarters.
	base := Limits{
		MaxHeaderBytes: DefaultMaxHeaderBytes, MaxHeaderFields: maxHeaderFields, TransferGrace: transferGrace,
		MinBytesPerSecond: minBytesPerSecond, MaxPipelined: maxPipelined, MaxDocumentBytes: memory / 6,
	}
	p := Plan{Callers: base, Readiness: base, Control: base}
	p.Callers.MaxConns = conns(callerConnsShare)
	p.Callers.MaxBodyBytes = DefaultMaxBodyBytes
	p.Callers.HeaderTimeout, p.Callers.IdleTimeout = DefaultHeaderTimeout, DefaultIdleTimeout
	p.Callers.HeldBytes, p.Callers.DecodeBytes = memory/16, memory/24
	p.Control.MaxConns = conns(controlConnsShare)
	p.Control.MaxBodyBytes = maxControlBodyBytes
	p.Control.HeaderTimeout, p.Control.IdleTimeout = controlHeaderTimeout, controlIdleTimeout
	p.Control.HeldBytes, p.Control.DecodeBytes = memory/10, memory/12
	p.Readiness.MaxConns = conns(readinessConnsShare)
	p.Readiness.MaxHeaderBytes, p.Readiness.MaxBodyBytes = 4096, 1024
	p.Readiness.HeaderTimeout, p.Readiness.IdleTimeout = DefaultHeaderTimeout, controlIdleTimeout
	p.Readiness.HeldBytes = 512 << 10
	for _, l := range []*Limits{&p.Callers, &p.Control, &p.Readiness} {
		l.MaxConnsPerSource = max(3, int(sourceShare*float64(l.MaxConns)))
		l.MaxRequests = l.MaxConns
	}
	// A request of a caller that waits for the leader is assumed to take 20 KB, so that
	// all together take a tenth of the memory. The smallest VM has room for 920.
	p.Callers.MaxRequests = min(p.Callers.MaxConns, int(memory>>20)*5)
	p.Peers = PeerLimits{
		MaxSessions: conns(peerSessionsShare), MaxStreams: int(memory>>20) * 16, MaxSessionStreams: int(memory>>20) * 12,
		HeldBytes: memory / 8, DecodeBytes: memory / 12, MaxDocumentBytes: memory / 4,
	}
	return p
}
