package pacer_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/carobrock/carobrock/internal/pacer"
)

// learned returns a model that has seen many differences with known pressures
// and noise.
func learned(pressure map[string]float64) *pacer.Model {
	r := rand.New(rand.NewPCG(1, 2))
	m := &pacer.Model{}
	for range 300 {
		a, b, d := pacer.Shares{}, pacer.Shares{}, r.NormFloat64()*0.05
		for image, p := range pressure {
			a[image], b[image] = r.Float64()*0.3, r.Float64()*0.3
			d += p * (a[image] - b[image])
		}
		m.Observe("svc", a, b, d, false)
	}
	return m
}

func TestModelFindsPressures(t *testing.T) {
	want := map[string]float64{"heavy": 1.8, "light": 0.1, "none": 0}
	m := learned(want)
	for image, p := range want {
		if got := m.Pressure("svc", image); got < p-0.15 || got > p+0.15 {
			t.Errorf("%s: pressure %.2f, want about %.2f", image, got, p)
		}
	}
	known := m.Caution("svc", "heavy") - m.Pressure("svc", "heavy")
	if unknown := m.Caution("svc", "unknown") - m.Pressure("svc", "unknown"); known >= unknown/2 {
		t.Errorf("caution adds %.2f to a known pair and %.2f to an unknown one", known, unknown)
	}
}

// Early estimates far below zero once kept a filler from ever being slowed.
func TestPressureIsNeverNegative(t *testing.T) {
	m := &pacer.Model{}
	for range 20 {
		m.Observe("svc", pacer.Shares{"f": 0.2}, pacer.Shares{}, -0.4, false)
	}
	if p := m.Pressure("svc", "f"); p < 0 {
		t.Errorf("pressure %.2f", p)
	}
}

func TestDecide(t *testing.T) {
	m := learned(map[string]float64{"heavy": 2, "light": 0.1})
	heavy := pacer.Filler{Image: "heavy", Share: 0.1, Pace: 100}
	light := pacer.Filler{Image: "light", Share: 0.1, Pace: 100}
	slow := heavy
	slow.Pace = 0
	full := heavy
	for _, test := range []struct {
		name     string
		services []pacer.Service
		fillers  []pacer.Filler
		want     []int
	}{
		{name: "far below", services: []pacer.Service{{Image: "svc", Load: 0.4, Limit: 0.83}}, fillers: []pacer.Filler{heavy, light}, want: []int{100, 100}},
		{name: "no service", fillers: []pacer.Filler{heavy}, want: []int{100}},
		{name: "above: the heavy one goes first", services: []pacer.Service{{Image: "svc", Load: 0.74, Limit: 0.83}}, fillers: []pacer.Filler{light, heavy}, want: []int{100, 50}},
		{name: "above without any: all that press stop", services: []pacer.Service{{Image: "svc", Load: 0.9, Limit: 0.83}}, fillers: []pacer.Filler{heavy}, want: []int{0}},
		{name: "between the margins: no change", services: []pacer.Service{{Image: "svc", Load: 0.59, Limit: 0.83}}, fillers: []pacer.Filler{full}, want: []int{100}},
		{name: "room again: a step at a time", services: []pacer.Service{{Image: "svc", Load: 0.4, Limit: 0.83}}, fillers: []pacer.Filler{slow}, want: []int{30}},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := pacer.Decide(m, test.services, test.fillers)
			for i := range got {
				// The learned pressures carry noise: a step of paces either way.
				if got[i] < test.want[i]-10 || got[i] > test.want[i]+10 {
					t.Errorf("paces %v, want about %v", got, test.want)
				}
			}
		})
	}
}

// A service that was over its target for long while nothing known pressed on it
// once went on suffering.
func TestOverdueServiceSlowsEveryFiller(t *testing.T) {
	m := learned(map[string]float64{"none": 0})
	s := pacer.Service{Image: "svc", Load: 0.97, Limit: 0.83}
	f := []pacer.Filler{{Image: "none", Share: 0.1, Pace: 100}}
	if got := pacer.Decide(m, []pacer.Service{s}, f); got[0] < 80 {
		t.Errorf("a filler without effect is slowed to %d", got[0])
	}
	s.Overdue = true
	if diff := cmp.Diff([]int{0}, pacer.Decide(m, []pacer.Service{s}, f)); diff != "" {
		t.Errorf("(-want +got):\n%s", diff)
	}
}

func TestUse(t *testing.T) {
	m := learned(map[string]float64{"heavy": 2, "light": 0.1})
	service := func(load float64) pacer.Service { return pacer.Service{Image: "svc", Load: load, Limit: 0.83} }
	overdue := service(0.1)
	overdue.Overdue = true
	for _, test := range []struct {
		name     string
		services []pacer.Service
		image    string
		min, max float64
	}{
		{name: "no service", image: "heavy", max: 0},
		{name: "plenty of room", services: []pacer.Service{service(0.2)}, image: "heavy", min: 0.25, max: 0.45},
		{name: "the fullest service counts", services: []pacer.Service{service(0.2), service(0.7)}, image: "heavy", min: 1.2, max: 2.5},
		{name: "light", services: []pacer.Service{service(0.7)}, image: "light", min: 0.05, max: 0.2},
		{name: "unknown, cautiously", services: []pacer.Service{service(0.5)}, image: "unknown", min: 0.7, max: 1},
		{name: "no room at all", services: []pacer.Service{service(0.9)}, image: "light", min: math.Inf(1), max: math.Inf(1)},
		{name: "overdue", services: []pacer.Service{overdue}, image: "light", min: math.Inf(1), max: math.Inf(1)},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := pacer.Use(m, test.services, pacer.Filler{Image: test.image, Share: 0.1})
			if got < test.min || got > test.max {
				t.Errorf("use %.2f, want %.2f to %.2f", got, test.min, test.max)
			}
		})
	}
}

// What one leader learned is the next one's knowledge.
func TestExportAndImport(t *testing.T) {
	m := learned(map[string]float64{"heavy": 2, "light": 0.1})
	r := &pacer.Rest{}
	r.Observe("svc", 32)
	r.Observe("other", 8)
	copied, rest := pacer.Import(pacer.Export(m, r))
	for _, image := range []string{"heavy", "light", "unknown"} {
		if a, b := m.Pressure("svc", image), copied.Pressure("svc", image); math.Abs(a-b) > 1e-6 {
			t.Errorf("%s: pressure %.3f, was %.3f", image, b, a)
		}
		if a, b := m.Caution("svc", image), copied.Caution("svc", image); math.Abs(a-b) > 1e-3 {
			t.Errorf("%s: caution %.3f, was %.3f", image, b, a)
		}
	}
	for _, image := range []string{"svc", "other"} {
		if a, b := r.Load(image, 150, 100), rest.Load(image, 150, 100); math.Abs(a-b) > 1e-6 {
			t.Errorf("%s: load %.3f, was %.3f", image, b, a)
		}
	}
	copied.Observe("svc", pacer.Shares{"third": 0.2}, nil, 0.5, false)
	if copied.Pressure("svc", "third") <= copied.Pressure("svc", "light") {
		t.Error("an imported model does not learn")
	}
	if empty, _ := pacer.Import(nil); empty.Pressure("svc", "heavy") != (&pacer.Model{}).Pressure("svc", "heavy") {
		t.Error("a model that was imported from nothing is not empty")
	}
}

func TestRestFollowsTheLeastTail(t *testing.T) {
	r := &pacer.Rest{}
	for _, tail := range []float64{60, 32, 45} {
		r.Observe("svc", tail)
	}
	if got, want := r.Load("svc", 150, 150), 1-32*0.75/150; got != want {
		t.Errorf("load at the target %.3f, want %.3f", got, want)
	}
	if got := r.Load("svc", 150, 10); got != 0 {
		t.Errorf("load below rest %.3f", got)
	}
}
