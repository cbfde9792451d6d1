package submitter_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	"github.com/carobrock/carobrock"
	"github.com/carobrock/carobrock/internal/locator"
	"github.com/carobrock/carobrock/internal/messenger"
	"github.com/carobrock/carobrock/internal/submitter"
)

const (
	linkBytesPerSecond = 250_000 // 2 Mbit/s
	socketBufferBytes  = 64 << 10
	segmentBytes       = 1460
	// configApplyTime is the platform's config_apply_ms.
	configApplyTime = 2500 * time.Millisecond
)

// slowConn is a connection whose writes pass a send buffer and then the link.
type slowConn struct {
	net.Conn

	mu       sync.Mutex
	changed  *sync.Cond // buffer or isClosed
	buffer   []byte
	isClosed bool
}

func newSlowConn(conn net.Conn, group *conc.WaitGroup) *slowConn {
	c := &slowConn{Conn: conn}
	c.changed = sync.NewCond(&c.mu)
	group.Go(c.run)
	return c
}

// run moves the buffer's bytes over the link. It hands over whole frames of yamux, which
// holds a lock while it reads one: synctest does not advance the time while another
// goroutine waits for that lock.
func (c *slowConn) run() {
	var arrived []byte
	for {
		c.mu.Lock()
		for len(c.buffer) == 0 && !c.isClosed {
			c.changed.Wait()
		}
		segment := c.buffer[:min(len(c.buffer), segmentBytes)]
		arrived = append(arrived, segment...)
		isClosed := c.isClosed
		c.mu.Unlock()
		if isClosed {
			return
		}
		time.Sleep(time.Duration(len(segment)) * time.Second / linkBytesPerSecond)
		frames := completeFrames(arrived)
		if _, err := c.Conn.Write(arrived[:frames]); err != nil {
			_ = c.Close()
			return
		}
		arrived = arrived[frames:]
		c.mu.Lock()
		c.buffer = c.buffer[len(segment):]
		c.changed.Broadcast()
		c.mu.Unlock()
	}
}

// completeFrames returns the size of the complete frames of yamux at the start of data.
func completeFrames(data []byte) int {
	const headerBytes, typeOffset, lengthOffset, typeData = 12, 1, 8, 0
	size := 0
	for len(data)-size >= headerBytes {
		next := size + headerBytes
		if header := data[size:]; header[typeOffset] == typeData {
			next += int(binary.BigEndian.Uint32(header[lengthOffset:]))
		}
		if next > len(data) {
			break
		}
		size = next
	}
	return size
}

func (c *slowConn) Write(p []byte) (n int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n < len(p) {
		for len(c.buffer) == socketBufferBytes && !c.isClosed {
			c.changed.Wait()
		}
		if c.isClosed {
			return n, net.ErrClosed
		}
		taken := min(len(p)-n, socketBufferBytes-len(c.buffer))
		c.buffer = append(c.buffer, p[n:n+taken]...)
		n += taken
		c.changed.Broadcast()
	}
	return n, nil
}

func (c *slowConn) Close() error {
	c.mu.Lock()
	c.isClosed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

// slowNetwork is an in-memory network of slow connections and its listener.
type slowNetwork struct {
	group  *conc.WaitGroup
	accept chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (n *slowNetwork) dial(ctx context.Context, _ string) (net.Conn, error) {
	a, b := net.Pipe()
	select {
	case n.accept <- newSlowConn(b, n.group):
		return newSlowConn(a, n.group), nil
	case <-n.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *slowNetwork) Accept() (net.Conn, error) {
	select {
	case conn := <-n.accept:
		return conn, nil
	case <-n.closed:
		return nil, net.ErrClosed
	}
}

func (n *slowNetwork) Close() error {
	n.once.Do(func() { close(n.closed) })
	return nil
}

func (n *slowNetwork) Addr() net.Addr { return &net.UnixAddr{Name: "leader"} }

// configuredLeader is a JobControl with a configuration, whose other calls respond at
// once.
type configuredLeader struct {
	carobrock.JobControl

	mu         sync.Mutex
	current    *carobrock.Configuration
	nextChange chan struct{}
}

// store puts c into force.
func (l *configuredLeader) store(c *carobrock.Configuration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current = c
	close(l.nextChange)
	l.nextChange = make(chan struct{})
}

func (l *configuredLeader) Configuration(context.Context) (*carobrock.Configuration, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current, nil
}

func (l *configuredLeader) WatchConfiguration(ctx context.Context, afterVersion int64) (*carobrock.Configuration, error) {
	deadline, _ := ctx.Deadline()
	timer := time.NewTimer(min(carobrock.WatchTimeoutMillis*time.Millisecond, time.Until(deadline)-carobrock.WatchMarginMillis*time.Millisecond))
	defer timer.Stop()
	for {
		l.mu.Lock()
		c, nextChange := l.current, l.nextChange
		l.mu.Unlock()
		if c != nil && c.Version > afterVersion {
			return c, nil
		}
		select {
		case <-nextChange:
		case <-timer.C:
			return nil, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (l *configuredLeader) JobState(context.Context, carobrock.JobQuery) (carobrock.JobState, error) {
	return carobrock.JobRunning, nil
}

// withQueues returns a configuration with n queues that have random names. Each version
// differs from the others in one queue.
func withQueues(version int64, n int) *carobrock.Configuration {
	rng := rand.New(rand.NewPCG(1, 2))
	c := &carobrock.Configuration{Version: version}
	for i := range n {
		name := fmt.Sprintf("queue-%08x", rng.Uint32())
		c.Queues = append(c.Queues, carobrock.Queue{
			Name: name, Host: fmt.Sprintf("host%d.example.org", i%7), PathPrefix: "/" + name + "/", Pool: fmt.Sprintf("pool%d", rng.IntN(20)),
			Priority: rng.IntN(3), MaxAttempts: 3, StretchFactor: 1.5, TargetMillis: 1000 + rng.Int64N(10_000), TimeoutMillis: 60_000,
		})
	}
	c.Queues[int(version)%n].TargetMillis = 20_000 + version
	return c
}

// Guards against a configuration that never arrives over a slow link, because each
// attempt to transfer it starts from the beginning and ends after a second, and against
// responses to other calls that wait behind the transfer.
func TestLargeConfigurationReachesAGatewayOnASlowLink(t *testing.T) {
	for _, queues := range []int{5000, 20_000} {
		t.Run(strconv.Itoa(queues), func(t *testing.T) { testSlowLink(t, queues) })
	}
}

func testSlowLink(t *testing.T, queues int) {
	const (
		readInterval   = 50 * time.Millisecond
		readTimeout    = time.Second
		changeInterval = 330 * time.Millisecond
		changeTime     = 4 * time.Second
	)
	// The pool of timers of yamux may hold timers of another bubble. Two collections empty
	// it.
	runtime.GC()
	runtime.GC()
	synctest.Test(t, func(t *testing.T) {
		group := conc.NewWaitGroup()
		network := &slowNetwork{group: group, accept: make(chan net.Conn), closed: make(chan struct{})}
		leader := &configuredLeader{nextChange: make(chan struct{})}
		leader.store(withQueues(1, queues))
		server := &messenger.Messenger{Listener: network, Handlers: locator.Handlers(leader), Logger: zerolog.Nop()}
		client := &messenger.Messenger{Dial: network.dial, Logger: zerolog.Nop()}
		loc := &locator.Locator{RPCClient: client, Logger: zerolog.Nop()}
		loc.SetSeeds([]string{"leader"})
		gateway := &submitter.Submitter{Control: loc, Logger: zerolog.Nop()}
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(time.Minute) // lets the timers of yamux expire, which ends its goroutines
		defer group.Wait()
		defer cancel()
		for _, ms := range []*messenger.Messenger{server, client} {
			ms.Prepare()
			group.Go(func() { _ = ms.Run(ctx) })
		}
		began := time.Now()
		group.Go(func() { _ = gateway.Run(ctx) })
		group.Go(func() {
			reads, failed := conc.NewWaitGroup(), 0
			var mu sync.Mutex
			for ctx.Err() == nil {
				reads.Go(func() {
					start := time.Now()
					readCtx, cancelRead := context.WithTimeout(context.Background(), readTimeout)
					defer cancelRead()
					_, err := loc.JobState(readCtx, carobrock.JobQuery{JobKey: carobrock.JobKey{ID: "j"}})
					mu.Lock()
					defer mu.Unlock()
					if err != nil && ctx.Err() == nil {
						if failed++; failed <= 3 {
							t.Errorf("read of a job sent %v after the start: %v", start.Sub(began), err)
						}
					}
				})
				time.Sleep(readInterval)
			}
			reads.Wait()
			if failed > 0 {
				t.Errorf("%d reads failed", failed)
			}
		})
		// waitForVersion waits until a gateway has the version, which has just been stored,
		// configApplyTime at most.
		stored := began
		waitForVersion := func(gateway *submitter.Submitter, version int64) {
			for gateway.Status().Version < version {
				if time.Since(stored) > configApplyTime {
					t.Errorf("after %v the gateway has version %d, want %d", time.Since(stored), gateway.Status().Version, version)
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
			t.Logf("version %d applied after %v", version, time.Since(stored))
		}
		waitForVersion(gateway, 1)
		// This gateway receives its first configuration during the changes.
		late := &submitter.Submitter{Control: loc, Logger: zerolog.Nop()}
		group.Go(func() { _ = late.Run(ctx) })
		version := int64(1)
		for start := time.Now(); time.Since(start) < changeTime; {
			version++
			leader.store(withQueues(version, queues))
			time.Sleep(changeInterval)
		}
		version++
		leader.store(withQueues(version, queues))
		stored = time.Now()
		waitForVersion(gateway, version)
		waitForVersion(late, version)
	})
}
