package forwarder

import (
	"net"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/carobrock/carobrock"
)

// hopByHop lists the headers that concern one connection only (RFC 9110,
// section 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopByHop removes the hop-by-hop headers, also those that the Connection
// header names.
func removeHopByHop(h http.Header) {
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}

// outgoingHeader returns the headers for the upstream.
func outgoingHeader(r *http.Request, requestID string) http.Header {
	h := r.Header.Clone()
	removeHopByHop(h)
	h.Del(carobrock.HeaderIdempotent)
	h.Set(carobrock.HeaderRequestID, requestID)
	h.Add("Forwarded", forwarded(r))
	if _, ok := h["User-Agent"]; !ok {
		h.Set("User-Agent", "")
	}
	return h
}

// forwarded returns the element that this hop adds to the Forwarded header (RFC
// 7239).
func forwarded(r *http.Request) string {
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
