package main

import (
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// configApply is config_apply_ms.
	configApply = 2 * time.Second
	// staleDown is how long the machines are without power, less than the 9.5 s of the
	// site's herd_kill.
	staleDown = 1600 * time.Millisecond
	// staleReaders is the number of reads that the operator has in progress.
	staleReaders = 8
	// staleCallers hand jobs in and cancel them, for staleFill at first and for staleLoad
	// before each change of the configuration. stalePause before it they stop, and cancel
	// what they have handed in after it.
	staleCallers = 100
	staleFill    = 4 * time.Second
	staleLoad    = 500 * time.Millisecond
	stalePause   = 300 * time.Millisecond
	// staleAfter is the time from a change to the next round, and staleTime that of all
	// rounds.
	staleAfter = 3300 * time.Millisecond
	staleTime  = 100 * time.Second
)

// ackedVersion is the newest version that was acknowledged, and when.
type ackedVersion struct {
	number int64
	at     time.Time
}

// playStale takes the power from all machines of the core as soon as a configuration has
// been acknowledged, again and again. It checks that no read of the configuration that is
// sent later than config_apply_ms after the acknowledgement gives an older version.
func playStale(rec *record, hasTrouble bool) (bool, error) {
	d, err := newDeployment(rec, 3)
	if err != nil {
		return false, err
	}
	defer d.close()
	d.restartDelay = staleDown
	c := newClient(d)
	if err := c.configure(); err != nil {
		return false, err
	}
	var acked atomic.Pointer[ackedVersion]
	acked.Store(&ackedVersion{number: 1, at: time.Now()})
	var reads, stale, version atomic.Int64
	var isPaused atomic.Bool
	end := time.Now().Add(staleTime)
	group := conc.NewWaitGroup()
	start := func(n int, fn func(client *http.Client, i int)) {
		for k := range n {
			group.Go(func() {
				client := &http.Client{Transport: &http.Transport{}}
				for i := k; time.Now().Before(end) && stale.Load() == 0; i++ {
					fn(client, i)
				}
			})
		}
	}
	start(staleReaders, func(client *http.Client, i int) {
		newest, sent := acked.Load(), time.Now()
		status, body := send(client, http.MethodGet, d.controlOf(i), "", "/v1/config", "", time.Second)
		if status != http.StatusOK {
			time.Sleep(5 * time.Millisecond)
			return
		}
		reads.Add(1)
		got := versionOf(body)
		if age := sent.Sub(newest.at); got < newest.number && age > configApply {
			stale.Add(1)
			rec.add("operator: GET /v1/config at machine %d, sent %v after version %d was acknowledged: version %d",
				i%len(d.nodes), age.Round(time.Millisecond), newest.number, got)
		}
		time.Sleep(time.Millisecond)
	})
	start(staleCallers, func(client *http.Client, i int) {
		path := routePrefix + newJobID()
		if status, _ := send(client, http.MethodPost, d.frontOf(i), routeHost, path, staleJob, 3*time.Second); status != http.StatusOK {
			time.Sleep(20 * time.Millisecond)
			return
		}
		for isPaused.Load() && time.Now().Before(end) {
			time.Sleep(5 * time.Millisecond)
		}
		for k := i; time.Now().Before(end); k++ {
			if status, _ := send(client, http.MethodDelete, d.frontOf(k), routeHost, path, "", 3*time.Second); status == http.StatusOK {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	})
	time.Sleep(staleFill)
	for time.Now().Before(end) && stale.Load() == 0 {
		time.Sleep(staleLoad)
		isPaused.Store(true)
		time.Sleep(stalePause)
		if number := version.Add(1) + 1; c.changeConfiguration(number, end) {
			acked.Store(&ackedVersion{number: number, at: time.Now()})
			if hasTrouble {
				for _, nd := range d.nodes {
					d.signal(nd, syscall.SIGKILL)
				}
			}
			rec.add("operator: PUT /v1/config version %d: 200", number)
		}
		isPaused.Store(false)
		time.Sleep(staleAfter)
	}
	group.Wait()
	rec.add("%d reads of the configuration, %d of them gave an older version", reads.Load(), stale.Load())
	return stale.Load() == 0, nil
}

// staleJob is a job that no worker can run.
const staleJob = `{"spec":"ms=300","steps":[{"count":1,"cpu":500,"mem_mb":64,"requires":"b"}]}`

// changeConfiguration sends a version of the configuration until it is acknowledged or
// time is over, and reports whether it was.
func (c *client) changeConfiguration(number int64, until time.Time) bool {
	document := strings.Replace(configuration, `"version":1`, fmt.Sprintf(`"version":%d`, number), 1)
	for i := 0; time.Now().Before(until); i++ {
		if status, _ := send(c.http, http.MethodPut, c.deployment.controlOf(i), "", "/v1/config", document, time.Second); status == http.StatusOK {
			return true
		}
	}
	return false
}

var versionPattern = regexp.MustCompile(`"version":(\d+)`)

// versionOf returns the version of a configuration, -1 if it has none.
func versionOf(body string) int64 {
	m := versionPattern.FindStringSubmatch(body)
	if m == nil {
		return -1
	}
	n, err := strconv.ParseInt(m[1], 10, 64)
	if err != nil {
		return -1
	}
	return n
}
