package carobrock

// Interference is what a leader has learned of how fillers slow services down.
// It is replicated so that the next leader need not learn it again.
type Interference struct {
	// Fillers are the images of fillers, in the order of the columns below.
	Fillers []string `cbor:"1,keyasint"`
	// Services holds a row for each image of a service.
	Services []ServiceInterference `cbor:"2,keyasint"`
}

// ServiceInterference is what is known of one service image.
type ServiceInterference struct {
	// Image is the service's image.
	Image string `cbor:"1,keyasint"`
	// LeastTailMillis is the least tail latency that was seen, zero if none was.
	LeastTailMillis float32 `cbor:"2,keyasint"`
	// Pressure and Variance have an element for each filler: the estimate and its
	// variance. They may be shorter than Fillers.
	Pressure []float32 `cbor:"3,keyasint"`
	Variance []float32 `cbor:"4,keyasint"`
}
