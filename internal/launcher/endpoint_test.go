package launcher

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"golang.org/x/sys/unix"
)

// pipeListener accepts in-memory connections, whose writes return once the other end
// has read all bytes.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial returns a new connection, nil if the listener is closed.
func (l *pipeListener) dial() net.Conn {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client
	case <-l.closed:
		return nil
	}
}

// sendAndReceive writes the parts of a request, gap apart, and reads the response. It
// reports whether the server has read the whole request, and the status, 0 if there
// was no complete response.
func sendAndReceive(c net.Conn, gap time.Duration, parts ...string) (isRead bool, status int) {
	for i, part := range parts {
		if i > 0 {
			time.Sleep(gap)
		}
		if _, err := io.WriteString(c, part); err != nil {
			return false, 0
		}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return true, 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return true, 0
	}
	return true, resp.StatusCode
}

const (
	testRequest = "POST /q/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
	// testDrainDuration and testStopTimeout are the drain of a node in the tests.
	testDrainDuration = 2500 * time.Millisecond
	testStopTimeout   = 4200 * time.Millisecond
)

// startEndpoint runs an endpoint with handler h that is stopped at stopAt.
func startEndpoint(t *testing.T, group *conc.WaitGroup, h http.HandlerFunc, stopAt time.Time) (*Endpoint, *pipeListener) {
	t.Helper()
	l := newPipeListener()
	e := &Endpoint{Handler: h, Logger: zerolog.Nop()}
	e.prepare(l)
	ctx, stopServing := context.WithCancel(context.Background())
	group.Go(func() {
		if err := e.Run(ctx); err != nil {
			t.Errorf("endpoint ended with %v", err)
		}
		if late := time.Since(stopAt) - testStopTimeout; late > 0 {
			t.Errorf("endpoint ended %v after its stop deadline", late)
		}
	})
	group.Go(func() {
		time.Sleep(time.Until(stopAt))
		e.StartDraining(stopAt.Add(testStopTimeout))
		time.Sleep(testDrainDuration)
		stopServing()
	})
	return e, l
}

// Guards against closing a connection from which bytes of a request were read.
func TestStopAnswersRequestsThatWereRead(t *testing.T) {
	const step = 50 * time.Millisecond
	for _, test := range []struct {
		name     string
		used     bool          // a request was answered on the connection before
		idle     time.Duration // from the start of the connection to the first byte
		gap      time.Duration // from one part of the request to the next
		handling time.Duration
	}{
		{"new connection", false, 0, 0, 0},
		{"new connection, request follows", false, 100 * time.Millisecond, 0, 0},
		{"new connection, request in parts", false, 100 * time.Millisecond, 100 * time.Millisecond, 0},
		{"new connection, slow handler", false, 100 * time.Millisecond, 0, time.Second},
		{"used connection", true, 400 * time.Millisecond, 0, 0},
		{"used connection, request in parts", true, 400 * time.Millisecond, 100 * time.Millisecond, 0},
		{"used connection, slow handler", true, 400 * time.Millisecond, 100 * time.Millisecond, time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			for offset := -2 * time.Second; offset < testStopTimeout; offset += step {
				synctest.Test(t, func(t *testing.T) {
					group := conc.NewWaitGroup()
					defer group.Wait()
					start := time.Now()
					stopAt := start.Add(10 * time.Second)
					var handling time.Duration
					_, l := startEndpoint(t, group, func(w http.ResponseWriter, r *http.Request) {
						body, err := io.ReadAll(r.Body)
						if err != nil || string(body) != "body" {
							t.Errorf("handler read %q, %v", body, err)
						}
						time.Sleep(handling)
						w.WriteHeader(http.StatusOK)
					}, stopAt)
					time.Sleep(time.Until(stopAt.Add(offset)))
					c := l.dial()
					if c == nil {
						return
					}
					defer func() { _ = c.Close() }()
					if test.used {
						if _, status := sendAndReceive(c, 0, testRequest); status != http.StatusOK {
							t.Fatalf("offset %v: first request has status %d", offset, status)
						}
					}
					time.Sleep(test.idle)
					handling = test.handling
					isRead, status := sendAndReceive(c, test.gap, testRequest[:3], testRequest[3:20], testRequest[20:])
					if isRead && status != http.StatusOK {
						t.Errorf("offset %v: the request was read and has status %d, want 200", offset, status)
					}
				})
			}
		})
	}
}

// Guards against requests that are cut at the stop deadline while they wait for a leader.
func TestRequestsAreAnsweredBeforeTheStopDeadline(t *testing.T) {
	for _, test := range []struct {
		name   string
		offset time.Duration // from the stop request to the first part
		gap    time.Duration // from the first to the last part
		want   int
	}{
		{"waits for a leader", 2 * time.Second, 0, http.StatusGatewayTimeout},
		{"read after requests were cancelled", 2 * time.Second, 1600 * time.Millisecond, http.StatusServiceUnavailable},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				group := conc.NewWaitGroup()
				defer group.Wait()
				stopAt := time.Now().Add(time.Second)
				e, l := startEndpoint(t, group, func(w http.ResponseWriter, r *http.Request) {
					<-r.Context().Done()
					w.WriteHeader(http.StatusGatewayTimeout)
				}, stopAt)
				time.Sleep(time.Until(stopAt.Add(test.offset)))
				c := l.dial()
				defer func() { _ = c.Close() }()
				if isRead, status := sendAndReceive(c, test.gap, testRequest[:20], testRequest[20:]); !isRead || status != test.want {
					t.Errorf("read %v, status %d, want %d", isRead, status, test.want)
				}
				if n := e.unanswered.Load(); n != 0 {
					t.Errorf("%d requests counted as unanswered, want 0", n)
				}
			})
		})
	}
}

// Guards against closing a connection that is new or waits for 100 Continue.
func TestConnectionInUseOutlivesTheDrain(t *testing.T) {
	const beforeTheEnd = 100 * time.Millisecond // from the start of the connection to the end of the drain
	for _, test := range []struct {
		name string
		idle time.Duration // from the start of the connection to the request
		head string
		gap  time.Duration // from the head to the body
	}{
		{"new", 400 * time.Millisecond, "", 0},
		{"sends the body late", 0, "Expect: 100-continue\r\n", 800 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				group := conc.NewWaitGroup()
				defer group.Wait()
				stopAt := time.Now().Add(time.Second)
				_, l := startEndpoint(t, group, func(w http.ResponseWriter, r *http.Request) {
					if body, err := io.ReadAll(r.Body); err != nil || string(body) != "body" {
						t.Errorf("handler read %q, %v", body, err)
					}
					w.WriteHeader(http.StatusOK)
				}, stopAt)
				time.Sleep(time.Until(stopAt.Add(testDrainDuration - beforeTheEnd)))
				c := l.dial()
				defer func() { _ = c.Close() }()
				time.Sleep(test.idle)
				if _, err := io.WriteString(c, "POST /q/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"+test.head+"\r\n"); err != nil {
					t.Fatal(err)
				}
				if test.head != "" {
					if _, status := sendAndReceive(c, 0); status != http.StatusContinue {
						t.Errorf("status %d, want 100", status)
					}
				}
				time.Sleep(test.gap)
				if _, status := sendAndReceive(c, 0, "body"); status != http.StatusOK {
					t.Errorf("status %d, want 200", status)
				}
			})
		})
	}
}

// Guards against idle connections that delay a stop or are closed too early.
func TestIdleConnectionIsClosedAtTheEndOfTheDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := conc.NewWaitGroup()
		stopAt := time.Now().Add(time.Second)
		e, l := startEndpoint(t, group, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }, stopAt)
		c := l.dial()
		defer func() { _ = c.Close() }()
		if _, status := sendAndReceive(c, 0, testRequest); status != http.StatusOK {
			t.Fatalf("status %d, want 200", status)
		}
		if n, err := c.Read(make([]byte, 1)); n != 0 || err == nil {
			t.Errorf("read %d bytes, %v; want the end of the connection", n, err)
		}
		if got := time.Since(stopAt); got < testDrainDuration || got > testDrainDuration+quietTime {
			t.Errorf("idle connection closed %v after the stop request, want %v to %v", got, testDrainDuration, testDrainDuration+quietTime)
		}
		group.Wait()
		if served, closed := e.served.Load(), e.closedQuiet.Load(); served != 0 || closed != 1 {
			t.Errorf("%d requests served during the drain and %d connections closed, want 0 and 1", served, closed)
		}
	})
}

// Guards against closing a connection on which a request has arrived.
func TestExpiredConnectionServesWhatHasArrived(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &Endpoint{Logger: zerolog.Nop()}
	e.prepare(l)
	defer func() { _ = e.listener.Close() }()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	conn, err := e.listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	c := conn.(*trackedConn)
	buf := make([]byte, 64)
	c.expireIfQuiet(time.Now().Add(quietTime))
	if err := c.SetReadDeadline(time.Now().Add(2 * time.Second)); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	if n, err := c.Read(buf); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("read %d bytes, %v from a quiet connection, want a timeout", n, err)
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("the read took %v, want none: the server's own deadline must not extend that of an expired connection", took)
	}
	if _, err := io.WriteString(client, "POST"); err != nil {
		t.Fatal(err)
	}
	waitForBytes(t, c.Conn.(*net.TCPConn))
	if err := c.Conn.SetReadDeadline(time.Now()); err != nil {
		t.Fatal(err)
	}
	if n, err := c.Read(buf); n != 4 || err != nil || !c.hasRequest() {
		t.Errorf("read %d bytes, %v, request %v; want the 4 bytes that have arrived", n, err, c.hasRequest())
	}
	if err := client.Close(); err != nil {
		t.Fatal(err)
	}
	if n, err := c.Read(buf); n != 0 || !errors.Is(err, io.EOF) {
		t.Errorf("read %d bytes, %v; want the end of the connection", n, err)
	}
}

// waitForBytes waits until the kernel has received bytes on c.
func waitForBytes(t *testing.T, c *net.TCPConn) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	for range 1000 {
		n := 0
		if err := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.TIOCINQ) }); err != nil {
			t.Fatal(err)
		}
		if n > 0 {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("no bytes have arrived")
}

// Guards against closing a connection with unread bytes, which resets it.
func TestBodyIsReadBeforeTheResponse(t *testing.T) {
	for _, test := range []struct {
		name     string
		draining bool
		header   string
	}{
		{"caller closes the connection", false, "Connection: close\r\n"},
		{"endpoint drains", true, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				group := conc.NewWaitGroup()
				defer group.Wait()
				stopAt := time.Now().Add(time.Second)
				_, l := startEndpoint(t, group, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotFound) }, stopAt)
				if test.draining {
					time.Sleep(1500 * time.Millisecond)
				}
				c := l.dial()
				defer func() { _ = c.Close() }()
				if err := c.SetWriteDeadline(time.Now().Add(time.Second)); err != nil {
					t.Fatal(err)
				}
				body := strings.Repeat("x", 64<<10)
				head := fmt.Sprintf("POST /q/1 HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n", test.header, len(body))
				if isRead, status := sendAndReceive(c, 5*time.Millisecond, head, body); !isRead || status != http.StatusNotFound {
					t.Errorf("read %v, status %d, want 404 after the whole request", isRead, status)
				}
			})
		})
	}
}

// Guards against a handler that panics ending a request without a response.
func TestPanicIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		group := conc.NewWaitGroup()
		defer group.Wait()
		_, l := startEndpoint(t, group, func(http.ResponseWriter, *http.Request) { panic("malformed request") }, time.Now().Add(time.Second))
		c := l.dial()
		defer func() { _ = c.Close() }()
		for i := range 2 {
			if _, status := sendAndReceive(c, 0, testRequest); status != http.StatusGatewayTimeout {
				t.Errorf("request %d: status %d, want 504", i, status)
			}
		}
	})
}
