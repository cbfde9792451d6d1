package carobrock

// Interference is the leader's learned model of how filler tasks slow down
// services. It is replicated so that a new leader does not have to learn it
// again.
type Interference struct {
	// Fillers lists the images of filler tasks. It gives the order of the
	// columns of ServiceInterference.
	Fillers []string `cbor:"1,keyasint"`
	// Services has one row for each service image.
	Services []ServiceInterference `cbor:"2,keyasint"`
}

// ServiceInterference is the learned model of one service image.
type ServiceInterference struct {
	// Image is the service's image.
	Image string `cbor:"1,keyasint"`
	// MinTailMillis is the lowest tail latency observed, in milliseconds, or
	// zero if none was observed.
	MinTailMillis float32 `cbor:"2,keyasint"`
	// Pressure and Variance have one element for each filler image: the
	// estimated load that the filler adds to the service and the variance of
	// the estimate. They may be shorter than Fillers.
	Pressure []float32 `cbor:"3,keyasint"`
	Variance []float32 `cbor:"4,keyasint"`
}
