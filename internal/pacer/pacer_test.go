package pacer_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/carobrock/carobrock/internal/pacer"
)

// trainedModel returns a model that has observed 300 noisy load differences
// generated with the given pressures.
func trainedModel(pressure map[string]float64) *pacer.Model {
	r := rand.New(rand.NewPCG(1, 2))
	m := &pacer.Model{}
	for range 300 {
		a, b, d := pacer.Shares{}, pacer.Shares{}, r.NormFloat64()*0.05
		for image, p := range pressure {
			a[image], b[image] = r.Float64()*0.3, r.Float64()*0.3
			d += p * (a[image] - b[image])
		}
		m.ObserveDifference("svc", a, b, d, false)
	}
	return m
}

func TestModelEstimatesPressures(t *testing.T) {
	want := map[string]float64{"heavy": 1.8, "light": 0.1, "none": 0}
	m := trainedModel(want)
	for image, p := range want {
		if got := m.Pressure("svc", image); got < p-0.15 || got > p+0.15 {
			t.Errorf("%s: pressure %.2f, want about %.2f", image, got, p)
		}
	}
	known := m.PressureUpperBound("svc", "heavy") - m.Pressure("svc", "heavy")
	if unknown := m.PressureUpperBound("svc", "unknown") - m.Pressure("svc", "unknown"); known >= unknown/2 {
		t.Errorf("upper bound exceeds the estimate by %.2f for a known pair and by %.2f for an unknown one", known, unknown)
	}
}

// Guards against estimates far below zero from the first observations, which kept
// a filler from ever being slowed.
func TestPressureIsNeverNegative(t *testing.T) {
	m := &pacer.Model{}
	for range 20 {
		m.ObserveDifference("svc", pacer.Shares{"f": 0.2}, pacer.Shares{}, -0.4, false)
	}
	if p := m.Pressure("svc", "f"); p < 0 {
		t.Errorf("pressure %.2f, want at least 0", p)
	}
}

func TestDecide(t *testing.T) {
	m := trainedModel(map[string]float64{"heavy": 2, "light": 0.1})
	heavy := pacer.Filler{Image: "heavy", Share: 0.1, Pace: 100}
	light := pacer.Filler{Image: "light", Share: 0.1, Pace: 100}
	stopped := heavy
	stopped.Pace = 0
	full := heavy
	for _, test := range []struct {
		name     string
		services []pacer.Service
		fillers  []pacer.Filler
		want     []int
	}{
		{name: "far below the limit", services: []pacer.Service{{Image: "svc", Load: 0.4, Limit: 0.83}}, fillers: []pacer.Filler{heavy, light}, want: []int{100, 100}},
		{name: "no service", fillers: []pacer.Filler{heavy}, want: []int{100}},
		{name: "above the limit: the heavy filler is slowed first", services: []pacer.Service{{Image: "svc", Load: 0.74, Limit: 0.83}}, fillers: []pacer.Filler{light, heavy}, want: []int{100, 50}},
		{name: "above the limit without fillers: fillers with pressure stop", services: []pacer.Service{{Image: "svc", Load: 0.9, Limit: 0.83}}, fillers: []pacer.Filler{heavy}, want: []int{0}},
		{name: "between the margins: no change", services: []pacer.Service{{Image: "svc", Load: 0.59, Limit: 0.83}}, fillers: []pacer.Filler{full}, want: []int{100}},
		{name: "headroom again: paces are raised by at most maxRaise", services: []pacer.Service{{Image: "svc", Load: 0.4, Limit: 0.83}}, fillers: []pacer.Filler{stopped}, want: []int{30}},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := pacer.DecidePaces(m, test.services, test.fillers)
			for i := range got {
				// The learned pressures are noisy, so the paces may deviate by up to 10
				// percent.
				if got[i] < test.want[i]-10 || got[i] > test.want[i]+10 {
					t.Errorf("paces %v, want about %v", got, test.want)
				}
			}
		})
	}
}

// Guards against a service that stays above its target for long because no filler
// beside it has a known pressure.
func TestOverdueServiceSlowsEveryFiller(t *testing.T) {
	m := trainedModel(map[string]float64{"none": 0})
	s := pacer.Service{Image: "svc", Load: 0.97, Limit: 0.83}
	f := []pacer.Filler{{Image: "none", Share: 0.1, Pace: 100}}
	if got := pacer.DecidePaces(m, []pacer.Service{s}, f); got[0] < 80 {
		t.Errorf("a filler without pressure is slowed to %d percent", got[0])
	}
	s.OverTarget = true
	if diff := cmp.Diff([]int{0}, pacer.DecidePaces(m, []pacer.Service{s}, f)); diff != "" {
		t.Errorf("paces (-want +got):\n%s", diff)
	}
}

func TestHeadroomUse(t *testing.T) {
	m := trainedModel(map[string]float64{"heavy": 2, "light": 0.1})
	service := func(load float64) pacer.Service { return pacer.Service{Image: "svc", Load: load, Limit: 0.83} }
	overTarget := service(0.1)
	overTarget.OverTarget = true
	for _, test := range []struct {
		name     string
		services []pacer.Service
		image    string
		min, max float64
	}{
		{name: "no service", image: "heavy", max: 0},
		{name: "ample headroom", services: []pacer.Service{service(0.2)}, image: "heavy", min: 0.25, max: 0.45},
		{name: "the service with the least headroom counts", services: []pacer.Service{service(0.2), service(0.7)}, image: "heavy", min: 1.2, max: 2.5},
		{name: "light filler", services: []pacer.Service{service(0.7)}, image: "light", min: 0.05, max: 0.2},
		{name: "unknown filler uses the upper bound", services: []pacer.Service{service(0.5)}, image: "unknown", min: 0.7, max: 1},
		{name: "no headroom", services: []pacer.Service{service(0.9)}, image: "light", min: math.Inf(1), max: math.Inf(1)},
		{name: "over target", services: []pacer.Service{overTarget}, image: "light", min: math.Inf(1), max: math.Inf(1)},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := pacer.HeadroomUse(m, test.services, pacer.Filler{Image: test.image, Share: 0.1})
			if got < test.min || got > test.max {
				t.Errorf("headroom use %.2f, want %.2f to %.2f", got, test.min, test.max)
			}
		})
	}
}

// A model that is exported by one leader and imported by the next gives the same
// predictions and continues to learn.
func TestExportAndImport(t *testing.T) {
	m := trainedModel(map[string]float64{"heavy": 2, "light": 0.1})
	baseline := &pacer.Baseline{}
	baseline.ObserveTail("svc", 32)
	baseline.ObserveTail("other", 8)
	imported, importedBaseline := pacer.Import(pacer.Export(m, baseline))
	for _, image := range []string{"heavy", "light", "unknown"} {
		if a, b := m.Pressure("svc", image), imported.Pressure("svc", image); math.Abs(a-b) > 1e-6 {
			t.Errorf("%s: pressure %.3f after import, %.3f before export", image, b, a)
		}
		if a, b := m.PressureUpperBound("svc", image), imported.PressureUpperBound("svc", image); math.Abs(a-b) > 1e-3 {
			t.Errorf("%s: pressure upper bound %.3f after import, %.3f before export", image, b, a)
		}
	}
	for _, image := range []string{"svc", "other"} {
		if a, b := baseline.Load(image, 150, 100), importedBaseline.Load(image, 150, 100); math.Abs(a-b) > 1e-6 {
			t.Errorf("%s: load %.3f after import, %.3f before export", image, b, a)
		}
	}
	imported.ObserveDifference("svc", pacer.Shares{"third": 0.2}, nil, 0.5, false)
	if imported.Pressure("svc", "third") <= imported.Pressure("svc", "light") {
		t.Error("an imported model did not learn")
	}
	if empty, _ := pacer.Import(nil); empty.Pressure("svc", "heavy") != (&pacer.Model{}).Pressure("svc", "heavy") {
		t.Error("a model imported from nil is not empty")
	}
}

func TestBaselineUsesMinTail(t *testing.T) {
	baseline := &pacer.Baseline{}
	for _, tail := range []float64{60, 32, 45} {
		baseline.ObserveTail("svc", tail)
	}
	if got, want := baseline.Load("svc", 150, 150), 1-32*0.75/150; got != want {
		t.Errorf("load at the target %.3f, want %.3f", got, want)
	}
	if got := baseline.Load("svc", 150, 10); got != 0 {
		t.Errorf("load %.3f at a tail latency below the idle one, want 0", got)
	}
}
