// Package admitter decides which request may use which upstream's slot, and
// when: it keeps every upstream within the slots that this gateway was granted,
// queues requests within their deadlines, and chooses among free slots.
package admitter
