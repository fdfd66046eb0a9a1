package scheduler

import (
	"fmt"
	"math"
	"time"
)

// Shape defines how the offered rate changes during a phase.
type Shape string

// Shapes of phases.
const (
	ShapeConstant Shape = "constant"
	ShapeRamp     Shape = "ramp"
	ShapeSine     Shape = "sine"
	ShapeSquare   Shape = "square"
)

func (p *Phase) validate() error {
	switch p.Shape {
	case "", ShapeConstant, ShapeRamp, ShapeSine, ShapeSquare:
	default:
		return fmt.Errorf("phase %s: unknown shape %q", p.Name, p.Shape)
	}
	if p.For <= 0 || p.Rate < 0 || p.Peak < 0 || p.Period < 0 {
		return fmt.Errorf("phase %s: the duration must be above 0, and the rates and the period must not be negative", p.Name)
	}
	return nil
}

// RateAt returns the offered rate at a time after the phase's start.
func (p *Phase) RateAt(at time.Duration) float64 {
	period := time.Duration(p.Period)
	if period == 0 {
		period = time.Duration(p.For)
	}
	cyclePosition := math.Mod(float64(at)/float64(period), 1)
	switch p.Shape {
	case ShapeRamp:
		return p.Rate + (p.Peak-p.Rate)*float64(at)/float64(p.For)
	case ShapeSine:
		return p.Rate + (p.Peak-p.Rate)*(1-math.Cos(2*math.Pi*cyclePosition))/2
	case ShapeSquare:
		if cyclePosition >= 0.5 {
			return p.Peak
		}
	}
	return p.Rate
}

// highestRate returns an upper bound of the phase's rate.
func (p *Phase) highestRate() float64 {
	if p.Shape == "" || p.Shape == ShapeConstant {
		return p.Rate
	}
	return max(p.Rate, p.Peak)
}

// RateAt returns the offered rate at a time after the start of the run.
func (w *Workload) RateAt(at time.Duration) float64 {
	for i := range w.Phases {
		length := time.Duration(w.Phases[i].For)
		if at < length {
			return w.Phases[i].RateAt(at)
		}
		at -= length
	}
	return 0
}

// HighestRate returns an upper bound of the rate over all phases.
func (w *Workload) HighestRate() float64 {
	highestRate := 0.0
	for i := range w.Phases {
		highestRate = max(highestRate, w.Phases[i].highestRate())
	}
	return highestRate
}
