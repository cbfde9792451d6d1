package main

import "strings"

const (
	crowdJobs    = 500
	crowdClients = 20
	// crowdSteps steps with a text of crowdText bytes make a body of 254,560 bytes, below
	// the limit of 262,144.
	crowdSteps = 256
	crowdText  = 900
)

// playCrowd hands in complete jobs of legal size, many at once, and then ordinary jobs. It
// checks that no process uses more memory than its machine has and that the ordinary jobs
// are taken and run.
func playCrowd(rec *record, hasTrouble bool) (bool, error) {
	d, err := newDeployment(rec, 3)
	if err != nil {
		return false, err
	}
	defer d.close()
	c, _, err := startFleet(d)
	if err != nil {
		return false, err
	}
	if hasTrouble {
		// No worker has the label, so that none of the jobs starts.
		step := `{"count":1,"cpu":1000,"mem_mb":64,"estimate_ms":300,"requires":"b","image":"` + strings.Repeat("i", crowdText) + `"}`
		c.submitCrowd(crowdJobs, crowdClients, `{"spec":"ms=300 cpu=1000`+strings.Repeat(" ", 3900)+`","steps":[`+repeatList(step, crowdSteps)+`]}`)
	}
	return keepsRunning(c, 2), nil
}
