package dispatcher

import (
	"strings"
	"unicode/utf8"

	"github.com/carobrock/carobrock"
)

const (
	// maxResponseBytes bounds the encoded response to a heartbeat. Workers drop
	// responses of over 4 MiB, and with them the acknowledgement and the lease, and
	// those that take longer than a second to arrive. A link of 2 Mbit/s, as between
	// the leader and a process that forwards heartbeats, carries this in 0.52 s.
	maxResponseBytes = 128 << 10
	// maxSingleStartBytes bounds the encoded size of a start that exceeds
	// maxResponseBytes alone. It is sent in a response without other starts.
	maxSingleStartBytes = 3 << 20
	// responseHeadBytes bounds the encoded size of the fields that are no orders,
	// without the address.
	responseHeadBytes = 512
	// rowBytes bounds the encoded size of a row of an order without its texts: an
	// index of 19 digits for each of occurrence, step and index, an attempt of 20
	// digits, a percentage, and brackets, commas and quotes.
	rowBytes = 128
	// incompleteRetryMillis is the time from a response that does not hold all orders
	// to the worker's next heartbeat, in milliseconds. It leaves the worker time to
	// begin the starts, and still allows 6 MiB of orders in a second.
	incompleteRetryMillis = 20
)

// responseBudget adds orders to the response to a heartbeat until it has as many bytes
// as a response may have.
type responseBudget struct {
	response *carobrock.HeartbeatResponse
	// left is the number of bytes that may still be added.
	left int
	// isExhausted is set once an order was left out. No more are added then, so that
	// small starts do not overtake large ones for ever.
	isExhausted bool
}

func newResponseBudget(response *carobrock.HeartbeatResponse) *responseBudget {
	return &responseBudget{response: response, left: maxResponseBytes - responseHeadBytes - encodedLength(response.NextAddress)}
}

// take reports whether an order of the given size fits, and subtracts its size.
func (b *responseBudget) take(size int) bool {
	if b.isExhausted || size > b.left {
		b.isExhausted = true
		return false
	}
	b.left -= size
	return true
}

func (b *responseBudget) addStop(run carobrock.Run) {
	if b.take(rowBytes + encodedLength(run.Task.Job)) {
		b.response.Stop = append(b.response.Stop, run)
	}
}

func (b *responseBudget) addPace(pace carobrock.PaceRun) {
	if b.take(rowBytes + encodedLength(pace.Task.Job)) {
		b.response.Pace = append(b.response.Pace, pace)
	}
}

// addStart adds a start. One that does not fit into any response is skipped, as the
// worker would drop each response that holds it. One that fits only alone is the only
// one of its response.
func (b *responseBudget) addStart(s carobrock.StartRun) {
	size := startLength(&s)
	switch {
	case size > maxSingleStartBytes:
		return
	case size > maxResponseBytes-responseHeadBytes-encodedLength(b.response.NextAddress) && len(b.response.Start) == 0 && !b.isExhausted:
		b.left = 0
	case !b.take(size):
		return
	}
	b.response.Start = append(b.response.Start, s)
}

// startLength returns a bound of the encoded size of a start.
func startLength(s *carobrock.StartRun) int {
	return rowBytes + encodedLength(s.Task.Job) + encodedLength(s.Payload) + encodedLength(s.Checkpoint) + encodedLength(s.Ticket)
}

// encodedLength returns the length of s as a JSON string that is encoded like
// encoding/json does it: control characters, characters with a meaning in HTML and
// the line separators of JavaScript take six bytes.
func encodedLength(s string) int {
	n := len(`""`)
	for i, c := range s {
		switch {
		case c == '"' || c == '\\' || c == '\b' || c == '\f' || c == '\n' || c == '\r' || c == '\t':
			n += 2
		case c < ' ' || c == '<' || c == '>' || c == '&' || c == '\u2028' || c == '\u2029':
			n += 6
		case c == utf8.RuneError && !strings.HasPrefix(s[i:], string(utf8.RuneError)):
			n += 6 // a byte that is no UTF-8 is replaced
		default:
			n += utf8.RuneLen(c)
		}
	}
	return n
}
