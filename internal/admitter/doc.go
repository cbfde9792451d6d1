// Package admitter implements admission control for the requests of a gateway:
// it limits the requests in flight to each upstream to the slots that this
// gateway was granted, queues requests within their deadlines, and balances the
// load among upstreams with free slots.
package admitter
