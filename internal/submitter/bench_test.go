package submitter

import (
	"fmt"
	"testing"

	"github.com/rs/zerolog"
)

// BenchmarkMatchQueue measures a request for the last queue of a configuration.
func BenchmarkMatchQueue(b *testing.B) {
	for _, n := range []int{245, 4445, 20000} {
		b.Run(fmt.Sprint("queues=", n), func(b *testing.B) {
			s := &Submitter{Logger: zerolog.Nop()}
			s.applyConfiguration(manyQueues(n), s.now())
			path := fmt.Sprintf("/v1/jobs/%05d/0123456789abcdef", n-1)
			host := fmt.Sprintf("service%d.example.org:80", (n-1)%300)
			for b.Loop() {
				if _, rest, err := s.MatchQueue(host, path); err != nil || rest != "0123456789abcdef" {
					b.Fatal(rest, err)
				}
			}
		})
	}
}
