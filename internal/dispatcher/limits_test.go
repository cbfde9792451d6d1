package dispatcher_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/carobrock/carobrock"
)

const (
	limitSeeds    = 12
	limitDuration = time.Minute
)

// limitPlay is a random history of accounts with limits that change, silent workers,
// lost responses, slow commits and new leaders.
type limitPlay struct {
	*harness
	*rand.Rand
	workers []*fakeWorker
	// silentUntil is when each worker sends heartbeats again, leasedAt when it sent the
	// last one whose response renewed its leases.
	silentUntil, leasedAt []time.Time
	limits                map[string]int64
	version               int64
	term                  uint64
	jobs                  int
	cores                 map[string]int64 // of a task, by job
	starts                int
}

// Guards against a start that takes an account over its limit. A run counts from its
// start until it ends, is stopped or its lease expires on its worker.
func TestNoStartTakesAnAccountOverItsLimit(t *testing.T) {
	for seed := range uint64(limitSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playLimits(t, seed) })
		})
	}
}

func playLimits(t *testing.T, seed uint64) {
	h := newHarness(t)
	defer h.stop()
	p := &limitPlay{
		harness: h, Rand: rand.New(rand.NewPCG(seed, 6)), limits: map[string]int64{"x": 6, "y": 10, "z": 0}, version: 2, term: 1, cores: map[string]int64{},
	}
	p.configure()
	for i := range 4 {
		p.workers = append(p.workers, h.newWorker(fmt.Sprint("w", i), 8))
		p.silentUntil, p.leasedAt = append(p.silentUntil, time.Time{}), append(p.leasedAt, time.Now())
	}
	for began := time.Now(); time.Since(began) < limitDuration; time.Sleep(10 * time.Millisecond) {
		p.change()
		for i := range p.workers {
			p.beat(i)
		}
	}
	if p.starts < 50 {
		t.Errorf("%d starts, want more", p.starts)
	}
}

func (p *limitPlay) configure() {
	p.configureAccounts(p.version, limitedAccount("x", p.limits["x"]), limitedAccount("y", p.limits["y"]), limitedAccount("z", p.limits["z"]))
	p.version++
}

// change makes a random change.
func (p *limitPlay) change() {
	switch p.IntN(14) {
	case 0, 1, 2, 3:
		step := sizedStep(1+p.IntN(5), 1+p.Int64N(3))
		step.Gang, step.Service, step.Filler = p.IntN(4) == 0, p.IntN(8) == 0, p.IntN(4) == 0
		account := []string{"x", "y", "z"}[p.IntN(3)]
		id := fmt.Sprint(account, p.jobs)
		p.jobs++
		p.cores[id] = step.Size.MilliCPU / 1000
		p.submitAccountJob(account, id, step)
		if p.IntN(3) == 0 { // lower the limit before the runs that are now assigned start
			time.Sleep(40 * time.Millisecond)
			p.limits[account] = min(p.limits[account], 1+p.Int64N(4))
			p.configure()
		}
	case 4:
		p.cancelJob(fmt.Sprint([]string{"x", "y", "z"}[p.IntN(3)], p.IntN(p.jobs+1)))
	case 5:
		p.limits["x"], p.limits["y"] = 1+p.Int64N(8), 4+p.Int64N(8)
		p.configure()
	case 6:
		if i := p.IntN(len(p.workers)); p.IntN(3) == 0 {
			p.silentUntil[i] = time.Now().Add(time.Duration(p.IntN(7000)) * time.Millisecond)
		}
	case 7:
		if p.IntN(6) == 0 {
			p.term++
			p.log.setTerm(p.term)
		}
	case 8:
		p.log.delayNextCommit(time.Duration(p.IntN(200)) * time.Millisecond)
	}
}

// used returns the cores that the runs of an account hold on all workers.
func (p *limitPlay) used(account string) (n int64) {
	p.expireLeases()
	for _, v := range p.workers {
		for _, x := range v.report.Running {
			if x.Task.Job[:1] == account {
				n += p.cores[x.Task.Job]
			}
		}
	}
	return n
}

// expireLeases ends the runs of the workers whose leases have expired.
func (p *limitPlay) expireLeases() {
	for i, v := range p.workers {
		for time.Since(p.leasedAt[i]) > testLease && len(v.report.Running) > 0 {
			v.endRun(v.report.Running[0].Run, carobrock.EndLeaseExpired)
		}
	}
}

// beat sends a heartbeat of a worker unless it is silent, and checks what it starts.
func (p *limitPlay) beat(i int) {
	v := p.workers[i]
	p.expireLeases()
	if time.Now().Before(p.silentUntil[i]) {
		return
	}
	for k := len(v.report.Running) - 1; k >= 0; k-- {
		if p.IntN(30) == 0 {
			v.endRun(v.report.Running[k].Run, []carobrock.EndKind{carobrock.EndSucceeded, carobrock.EndSucceeded, carobrock.EndFailed}[p.IntN(3)])
		}
	}
	sent := time.Now()
	if p.IntN(10) == 0 {
		v.dropResponse()
		return
	}
	if v.sendHeartbeat() != nil {
		return // a new term began
	}
	if v.lastResponse.LeaseMillis > 0 {
		p.leasedAt[i] = sent
	}
	p.starts += len(v.lastResponse.Start)
	for _, s := range v.lastResponse.Start {
		account := s.Task.Job[:1]
		if n, limit := p.used(account), p.limits[account]; limit > 0 && n > limit {
			p.t.Fatalf("%d cores of account %s running after a start on %s, its limit is %d", n, account, v.report.Name, limit)
		}
	}
}
