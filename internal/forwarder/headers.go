package forwarder

import (
	"net"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/carobrock/carobrock"
)

// hopByHopHeaders lists the headers that apply to a single connection (RFC 9110,
// section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopByHop removes the hop-by-hop headers, including those listed in the
// Connection header.
func removeHopByHop(h http.Header) {
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}

// upstreamHeader returns the headers of the request to the upstream.
func upstreamHeader(r *http.Request, requestID string) http.Header {
	h := r.Header.Clone()
	removeHopByHop(h)
	h.Del(carobrock.HeaderIdempotent)
	h.Set(carobrock.HeaderRequestID, requestID)
	h.Add("Forwarded", forwardedElement(r))
	if _, ok := h["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own User-Agent.
		h.Set("User-Agent", "")
	}
	return h
}

// forwardedElement returns the element that the gateway adds to the Forwarded header
// (RFC 7239).
func forwardedElement(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = "unknown"
	}
	if strings.Contains(host, ":") {
		host = `"[` + host + `]"`
	}
	proto := "http"
	if r.TLS != nil {
		proto = "https"
	}
	return "for=" + host + ";host=\"" + strings.ReplaceAll(r.Host, `"`, "") + "\";proto=" + proto
}
