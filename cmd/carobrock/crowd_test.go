package main

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"github.com/carobrock/carobrock/internal/encoder"
)

const (
	crowdSize = 200
	// legalBody is the limit of a body at the callers' listener.
	legalBody = 262_144
)

// head returns the head of a request with a body of the given length, chunked if it is
// negative.
func head(method, path string, length int) string {
	framing := fmt.Sprintf("Content-Length: %d", length)
	if length < 0 {
		framing = "Transfer-Encoding: chunked"
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\n%s\r\n\r\n", method, path, framing)
}

// target is a path of a listener for a kind of request.
type target struct{ method, path string }

// at returns the target for one member: %d in the path is replaced by its number.
func (g target) at(member int) (method, path string) {
	if strings.Contains(g.path, "%") {
		return g.method, fmt.Sprintf(g.path, member)
	}
	return g.method, g.path
}

var (
	submission    = target{"POST", "/q/%016x"}
	heartbeat     = target{"PUT", "/v1/instances/x%d"}
	configuration = target{"PUT", "/v1/config"}
	wave          = target{"POST", "/v1/wave-start"}
	probe         = target{"GET", "/v1/readyz"}
	noRoute       = target{"POST", "/nowhere/%d"}
)

// sendAll writes a whole request and reads the first bytes of the answer.
func sendAll(g target, body string) func(net.Conn, int) {
	return func(conn net.Conn, i int) {
		method, path := g.at(i)
		if _, err := io.WriteString(conn, head(method, path, len(body))+body); err != nil {
			return // the node may have closed the connection
		}
		_, _ = conn.Read(make([]byte, 1024))
	}
}

// stopShort writes sent bytes of a body of length bytes, in pieces; the body is chunked
// if length is negative.
func stopShort(g target, length, sent, piece int) func(net.Conn, int) {
	fill := strings.Repeat("x", piece)
	return func(conn net.Conn, i int) {
		method, path := g.at(i)
		if _, err := io.WriteString(conn, head(method, path, length)); err != nil {
			return
		}
		for n := 0; n < sent; n += piece {
			data := fill
			if length < 0 {
				data = fmt.Sprintf("%x\r\n%s\r\n", len(fill), fill)
			}
			if _, err := io.WriteString(conn, data); err != nil {
				return
			}
		}
	}
}

// pipeline writes a request many times without reading an answer.
func pipeline(request string, count int) func(net.Conn, int) {
	data := strings.Repeat(request, count)
	return func(conn net.Conn, _ int) { _, _ = io.WriteString(conn, data) }
}

// sendSlowly writes a request byte by byte until the time of a member is over.
func sendSlowly(request string) func(net.Conn, int) {
	return func(conn net.Conn, _ int) {
		for i := range request {
			if _, err := io.WriteString(conn, request[i:i+1]); err != nil {
				return
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// largeHead writes a head that does not end, of many fields or of one.
func largeHead(bytes int, many bool) func(net.Conn, int) {
	data := "X-Fill: " + strings.Repeat("x", bytes)
	if many {
		b := &strings.Builder{}
		for i := 0; b.Len() < bytes; i++ {
			fmt.Fprintf(b, "X%x: y\r\n", i)
		}
		data = b.String() + "\r\n"
	}
	return func(conn net.Conn, _ int) {
		_, _ = io.WriteString(conn, "GET /q/ HTTP/1.1\r\nHost: h.example\r\n"+data)
	}
}

// sendJunk writes random bytes.
func sendJunk(conn net.Conn, i int) {
	rnd := rand.New(rand.NewPCG(36, uint64(i)))
	data := make([]byte, 64<<10)
	for i := range data {
		data[i] = byte(rnd.IntN(256))
	}
	_, _ = conn.Write(data)
}

// openStreams opens a session with streams that announce frames of size bytes and send
// sent bytes of each.
func openStreams(streams, size, sent int) func(net.Conn, int) {
	return func(conn net.Conn, _ int) {
		config := yamux.DefaultConfig()
		config.LogOutput = io.Discard
		session, err := yamux.Client(conn, config)
		if err != nil {
			return
		}
		data := append(binary.BigEndian.AppendUint32([]byte{'C'}, uint32(size)), make([]byte, sent)...)
		for range streams {
			stream, err := session.OpenStream()
			if err != nil {
				return // the node may have closed the session
			}
			_ = stream.SetDeadline(time.Now().Add(crowdActTimeout))
			if _, err := stream.Write(data); err != nil {
				return
			}
		}
	}
}

// sendFrames opens a session with streams that each carry one complete frame.
func sendFrames(streams int, kind byte, m proto.Message) func(net.Conn, int) {
	frame, err := proto.Marshal(m)
	data := append(binary.BigEndian.AppendUint32([]byte{kind}, uint32(len(frame))), frame...)
	return func(conn net.Conn, _ int) {
		config := yamux.DefaultConfig()
		config.LogOutput = io.Discard
		session, sessionErr := yamux.Client(conn, config)
		if err != nil || sessionErr != nil {
			return
		}
		for range streams {
			stream, err := session.OpenStream()
			if err != nil {
				return // the node may have closed the session
			}
			_ = stream.SetDeadline(time.Now().Add(crowdActTimeout))
			if _, err := stream.Write(data); err != nil {
				return
			}
		}
	}
}

// callOfQueues is a call that configures many queues without a field.
func callOfQueues() *encoder.Call {
	const queues = 130_000
	body := append([]byte{0xa2, 0x01, 0x01, 0x03, 0x9a}, binary.BigEndian.AppendUint32(nil, queues)...) // map: 1 is 1, 3 is an array
	return &encoder.Call{Id: 1, Method: "jobs/configure", TimeoutMillis: 1000, Body: append(body, bytes.Repeat([]byte{0xa0}, queues)...)}
}

// messageOfEntries is a message that consists of many entries without a field.
func messageOfEntries() *encoder.Message {
	m := &encoder.Message{}
	for range 120_000 {
		m.Entries = append(m.Entries, &encoder.Entry{})
	}
	return m
}

// announceWindow writes headers of a session's protocol that announce data, without the
// data: a stream is opened with a frame of 256 KiB.
func announceWindow(conn net.Conn, _ int) {
	header := []byte{0, 0, 0, 1, 0, 0, 0, 1, 0, 4, 0, 0} // version, data, SYN, stream 1, length
	_, _ = conn.Write(header)
}

// manyFields returns a document of about the given size whose list consists of very
// short elements.
func manyFields(before, element, after string, size int) string {
	return before + strings.Repeat(element+",", (size-len(before)-len(after))/(len(element)+1)-1) + element + after
}

var (
	jobOfFields = manyFields(`{"spec":"x","steps":[{"count":1,`, `"a":1`, `}]}`, legalBody)
	// jobWithinLimits has fewer values than a job may have, so that it is decoded.
	jobWithinLimits   = manyFields(`{"spec":"x","steps":[{"count":1,`, `"a":1`, `}]}`, 30_000*6)
	jobOfSteps        = manyFields(`{"spec":"x","steps":[`, `{}`, `]}`, legalBody)
	heartbeatOfFields = manyFields(`{"address":"127.0.0.1:9","state":"ready","machine":"m2","service":"pool","zone":"az1","labels":[],`+
		`"capacity":{"cpu":1,"mem_mb":1,"gpu":0},"clock_ms":1,"sequence":1,"born":1,"finished":[],"running":[`, `[]`, `]}`, legalBody)
	nestedArray   = manyFields(`[`, `[]`, `]`, legalBody)
	arrayOfZeroes = manyFields(`[`, `0`, `]`, legalBody)
)

// Guards against clients that use up the memory or the descriptors of a process, or that
// leave it unable to run a job. Each crowd misbehaves in one way at one listener.
func TestCrowd(t *testing.T) {
	binary := buildProduct(t)
	callers := func(n *crowdNode) string { return n.callers }
	ready := func(n *crowdNode) string { return n.ready }
	control := func(n *crowdNode) string { return n.control }
	peer := func(n *crowdNode) string { return n.peer }
	for _, test := range []struct {
		name    string
		address func(n *crowdNode) string
		size    int
		act     func(net.Conn, int)
	}{
		{"manyFields-job-callers", callers, crowdSize, sendAll(submission, jobOfFields)},
		{"manyFields-accepted-callers", callers, crowdSize, sendAll(submission, jobWithinLimits)},
		{"manyFields-steps-callers", callers, crowdSize, sendAll(submission, jobOfSteps)},
		{"manyFields-nested-callers", callers, crowdSize, sendAll(submission, nestedArray)},
		{"manyFields-noRoute-callers", callers, crowdSize, sendAll(noRoute, nestedArray)},
		{"manyFields-heartbeat-control", control, crowdSize, sendAll(heartbeat, heartbeatOfFields)},
		{"manyFields-nested-control", control, crowdSize, sendAll(heartbeat, nestedArray)},
		{"manyFields-zeroes-configuration", control, crowdSize, sendAll(configuration, arrayOfZeroes)},
		{"manyFields-wave-control", control, crowdSize, sendAll(wave, nestedArray)},
		{"manyFields-noRoute-control", control, crowdSize, sendAll(noRoute, nestedArray)},
		{"manyFields-nested-readiness", ready, crowdSize, sendAll(probe, nestedArray)},

		{"stopShort-callers", callers, 300, stopShort(submission, legalBody, legalBody-1, legalBody-1)},
		{"stopShort-pieces-callers", callers, 300, stopShort(submission, legalBody, legalBody-1024, 1024)},
		{"stopShort-chunked-callers", callers, 300, stopShort(submission, -1, legalBody-1024, 1024)},
		{"stopShort-noRoute-callers", callers, 300, stopShort(noRoute, legalBody, legalBody-1, legalBody-1)},
		{"stopShort-control", control, 300, stopShort(heartbeat, legalBody, legalBody-1, legalBody-1)},
		{"stopShort-pieces-control", control, 300, stopShort(heartbeat, legalBody, legalBody-1024, 1024)},
		{"stopShort-chunked-control", control, 300, stopShort(configuration, -1, legalBody-1024, 1024)},
		{"stopShort-noRoute-control", control, 300, stopShort(noRoute, legalBody, legalBody-1, legalBody-1)},
		{"stopShort-readiness", ready, 300, stopShort(probe, legalBody, legalBody-1, legalBody-1)},

		{"overLimit-callers", callers, crowdSize, stopShort(submission, 4<<20, 1_000_000, 1_000_000)},
		{"overLimit-chunked-callers", callers, crowdSize, stopShort(submission, -1, 1_000_000, 50_000)},
		{"overLimit-control", control, 100, stopShort(heartbeat, 8<<20, 3_000_000, 1_000_000)},
		{"overLimit-configuration", control, 100, stopShort(configuration, 8<<20, 3_000_000, 1_000_000)},
		{"overLimit-readiness", ready, crowdSize, stopShort(probe, 4<<20, 1_000_000, 1_000_000)},

		{"pipelined-callers", callers, crowdSize, pipeline("GET /q/ HTTP/1.1\r\nHost: h.example\r\n\r\n", 4000)},
		{"pipelined-control", control, crowdSize, pipeline("GET /v1/config HTTP/1.1\r\nHost: h.example\r\n\r\n", 1000)},
		{"pipelined-readiness", ready, crowdSize, pipeline("GET /v1/readyz HTTP/1.1\r\nHost: h.example\r\n\r\n", 4000)},

		{"slowSend-callers", callers, 300, sendSlowly(head("POST", "/q/0000000000000001", legalBody))},
		{"slowSend-control", control, 300, sendSlowly(head("PUT", "/v1/instances/x", legalBody))},
		{"slowSend-readiness", ready, 300, sendSlowly(head("GET", "/v1/readyz", 10))},
		{"slowRead-control", control, 450, pipeline("GET /v1/config HTTP/1.1\r\nHost: h.example\r\n\r\n", 16)},

		{"largeHead-callers", callers, crowdSize, largeHead(1_000_000, false)},
		{"largeHead-fields-callers", callers, crowdSize, largeHead(1_000_000, true)},
		{"largeHead-control", control, crowdSize, largeHead(1_000_000, false)},
		{"largeHead-fields-readiness", ready, crowdSize, largeHead(1_000_000, true)},

		{"silent-callers", callers, 900, func(net.Conn, int) {}},
		{"silent-control", control, 900, func(net.Conn, int) {}},
		{"silent-readiness", ready, 900, func(net.Conn, int) {}},
		{"silent-peer", peer, 900, func(net.Conn, int) {}},

		{"junk-peer", peer, 300, sendJunk},
		{"sessions-peer", peer, 300, openStreams(8, 0, 0)},
		{"largeFrames-peer", peer, 100, openStreams(4, 200<<20, 250_000)},
		{"manyStreams-peer", peer, 20, openStreams(1000, 1<<20, 2000)},
		{"manyFields-message-peer", peer, crowdSize, sendFrames(2, 'M', messageOfEntries())},
		{"manyFields-call-peer", peer, crowdSize, sendFrames(2, 'C', callOfQueues())},
		{"announced-peer", peer, 300, announceWindow},
	} {
		t.Run(test.name, func(t *testing.T) {
			checkCrowds(t, binary, func(n *crowdNode) []crowd {
				return []crowd{{address: test.address(n), size: test.size, act: test.act}}
			})
		})
	}
	t.Run("mix", func(t *testing.T) {
		checkCrowds(t, binary, func(n *crowdNode) []crowd {
			return []crowd{
				{n.callers, 80, sendAll(submission, jobOfFields)},
				{n.callers, 80, stopShort(submission, legalBody, legalBody-1, legalBody-1)},
				{n.callers, 40, largeHead(1_000_000, false)},
				{n.control, 80, sendAll(heartbeat, heartbeatOfFields)},
				{n.control, 80, stopShort(heartbeat, legalBody, legalBody-1, legalBody-1)},
				{n.control, 40, pipeline("GET /v1/config HTTP/1.1\r\nHost: h.example\r\n\r\n", 16)},
			}
		})
	})
}
