package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// playCrowd hands in complete jobs of legal size at once, and then ordinary jobs.
func playCrowd(rec *record, hasTrouble bool) (bool, error) {
	d, err := newDeployment(rec, 3)
	if err != nil {
		return false, err
	}
	defer d.close()
	d.limitMemory()
	c := newClient(d)
	if err := c.configure(); err != nil {
		return false, err
	}
	for i := range 8 {
		w := newWorker(d, i)
		defer w.crash()
		go w.work()
	}
	time.Sleep(2 * time.Second)
	if !ordinaryJob(c, 10*time.Second) {
		return false, fmt.Errorf("an ordinary job was not run before the trouble")
	}
	if hasTrouble {
		n, size := 400, 250_000
		if v, err := strconv.Atoi(os.Getenv("JOBS")); err == nil {
			n = v
		}
		if v, err := strconv.Atoi(os.Getenv("SIZE")); err == nil {
			size = v
		}
		// No worker has the label, so that none of the jobs starts.
		step := `{"count":1,"cpu":1000,"mem_mb":64,"estimate_ms":300,"requires":"b","image":"` + strings.Repeat("i", 900) + `"}`
		steps := max(1, min(256, size/len(step)))
		body := `{"spec":"ms=300 cpu=1000` + strings.Repeat(" ", 3900) + `","steps":[` + strings.TrimSuffix(strings.Repeat(step+",", steps), ",") + `]}`
		var group sync.WaitGroup
		statuses := make(chan int, n)
		work := make(chan struct{}, n)
		for range n {
			work <- struct{}{}
		}
		close(work)
		for range 20 {
			group.Add(1)
			go func() {
				defer group.Done()
				for range work {
					status, _ := send(c.http, http.MethodPost, d.frontOf(int(time.Now().UnixNano())%3), routeHost, routePrefix+newJobID(), body, 3*time.Second)
					statuses <- status
				}
			}()
		}
		group.Wait()
		close(statuses)
		byStatus := map[int]int{}
		for s := range statuses {
			byStatus[s]++
		}
		rec.add("clients: %d jobs of %d bytes handed in at once; answers by status: %v", n, len(body), byStatus)
	}
	isRun := true
	for range 3 {
		time.Sleep(2 * time.Second)
		isRun = ordinaryJob(c, 14*time.Second) && isRun
	}
	kills := 0
	for _, nd := range d.nodes {
		rec.add("platform: machine %d: peak %d MB, killed %d times", nd.number, nd.peakKB>>10, nd.kills)
		kills += nd.kills
	}
	return kills < 3 && isRun, nil
}
