package carobrock

// RequestLimits are the limits of one caller's request and connection that a
// configuration sets. Zero means the default of the gateway.
type RequestLimits struct {
	// MaxHeaderBytes and MaxBodyBytes limit the header and the body, in bytes.
	MaxHeaderBytes int64 `cbor:"1,keyasint,omitempty"`
	MaxBodyBytes   int64 `cbor:"2,keyasint,omitempty"`
	// HeaderTimeoutMillis is the time from the first byte to the end of the header, in
	// milliseconds.
	HeaderTimeoutMillis int64 `cbor:"3,keyasint,omitempty"`
	// IdleTimeoutMillis is how long a connection may be idle between requests, in
	// milliseconds.
	IdleTimeoutMillis int64 `cbor:"4,keyasint,omitempty"`
}
