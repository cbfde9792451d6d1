package carobrock

import (
	"fmt"
	"path"
	"strings"
)

// maxNameBytes is the maximum length of a name, in bytes.
const maxNameBytes = 200

// CheckName returns an error if name is empty, longer than 200 bytes, or
// contains a space, a tab, a line break or a slash. The argument what describes
// the named object in the error text.
func CheckName(what, name string) error {
	if name == "" {
		return fmt.Errorf("%s has no name", what)
	}
	if len(name) > maxNameBytes {
		return fmt.Errorf("%s has a name of more than %d bytes", what, maxNameBytes)
	}
	if strings.ContainsAny(name, " \t\r\n/") {
		return fmt.Errorf("%s %q: a name has no spaces and no slashes", what, name)
	}
	return nil
}

// CheckRoutes returns an error that describes the first invalid row of a route
// table, or nil if the table is valid.
func CheckRoutes(rows []Route) error {
	if len(rows) > MaxTableRows {
		return fmt.Errorf("routes: %d rows, the most is %d", len(rows), MaxTableRows)
	}
	names := map[string]bool{}
	matches := map[string]string{}
	for i := range rows {
		r := &rows[i]
		if err := CheckName(fmt.Sprintf("routes: row %d", i+1), r.Name); err != nil {
			return err
		}
		if names[r.Name] {
			return fmt.Errorf("routes: name %q stands twice", r.Name)
		}
		names[r.Name] = true
		if err := checkRoute(r); err != nil {
			return err
		}
		key := strings.ToLower(r.Host) + r.PathPrefix
		if other, ok := matches[key]; ok {
			return fmt.Errorf("routes: %q and %q match the same requests", other, r.Name)
		}
		matches[key] = r.Name
	}
	return nil
}

func checkRoute(r *Route) error {
	if !strings.HasPrefix(r.PathPrefix, "/") {
		return fmt.Errorf("routes: %q: pathPrefix %q does not begin with a slash", r.Name, r.PathPrefix)
	}
	if strings.ContainsAny(r.Host, "/: ") {
		return fmt.Errorf("routes: %q: host %q is no host name", r.Name, r.Host)
	}
	if r.TimeoutMillis < 0 || r.TimeoutMillis > MaxTimeoutMillis {
		return fmt.Errorf("routes: %q: timeoutMillis %d is not in 0 to %d", r.Name, r.TimeoutMillis, MaxTimeoutMillis)
	}
	return CheckName(fmt.Sprintf("routes: %q: pool", r.Name), r.Pool)
}

// CheckPools returns an error that describes the first invalid row of a pool
// table, or nil if the table is valid.
func CheckPools(rows []Pool) error {
	if len(rows) > MaxTableRows {
		return fmt.Errorf("pools: %d rows, the most is %d", len(rows), MaxTableRows)
	}
	names := map[string]bool{}
	for i := range rows {
		p := &rows[i]
		if err := CheckName(fmt.Sprintf("pools: row %d", i+1), p.Name); err != nil {
			return err
		}
		if names[p.Name] {
			return fmt.Errorf("pools: name %q stands twice", p.Name)
		}
		names[p.Name] = true
		for _, glob := range p.Workers {
			if _, err := path.Match(glob, ""); err != nil || glob == "" {
				return fmt.Errorf("pools: %q: bad worker pattern %q", p.Name, glob)
			}
		}
	}
	return nil
}

// CheckTask returns an error that describes the first invalid field of a task,
// or nil if the task is valid.
func CheckTask(t *TaskSpec) error {
	if err := CheckName("task", t.ID); err != nil {
		return err
	}
	if err := CheckName(fmt.Sprintf("task %q: pool", t.ID), t.Pool); err != nil {
		return err
	}
	if !t.Size.isWithinLimits() || !isDuration(t.RunMillis) {
		return fmt.Errorf("task %q: size or runMillis is negative or too large", t.ID)
	}
	return nil
}

// CheckWorker returns an error that describes the first invalid field of a
// worker, or nil if the worker is valid.
func CheckWorker(w *Worker) error {
	names := []struct{ what, name string }{
		{"worker", w.Name},
		{"worker's vm", w.VM},
		{"worker's incarnation", w.Incarnation},
		{"worker's availability zone", w.AvailabilityZone},
	}
	for _, n := range names {
		if err := CheckName(n.what, n.name); err != nil {
			return err
		}
	}
	if !w.Capacity.isWithinLimits() {
		return fmt.Errorf("worker %q: capacity is negative or too large", w.Name)
	}
	for _, s := range w.Services {
		if s.Slots < 0 || s.Slots > maxSlots || s.Connections < 0 || s.Connections > maxSlots || !s.Reserved.isWithinLimits() || s.Address == "" {
			return fmt.Errorf("worker %q: service for pool %q is not valid", w.Name, s.Pool)
		}
	}
	return nil
}

// maxSlots is the largest number of slots or connections of an upstream.
const maxSlots = 1 << 20

// Allows reports whether w is in one of the pool's availability zones and
// matches one of its worker patterns.
func (p *Pool) Allows(w *Worker) bool {
	return p.allowsZone(w.AvailabilityZone) && p.allowsName(w.Name)
}

func (p *Pool) allowsZone(az string) bool {
	if len(p.AvailabilityZones) == 0 {
		return true
	}
	for _, z := range p.AvailabilityZones {
		if z == az {
			return true
		}
	}
	return false
}

func (p *Pool) allowsName(name string) bool {
	if len(p.Workers) == 0 {
		return true
	}
	for _, glob := range p.Workers {
		if ok, _ := path.Match(glob, name); ok {
			return true
		}
	}
	return false
}
