package btbench

import (
	"math/rand/v2"

	"bramleytack/btowner"
	"bramleytack/btramp"
	"bramleytack/btroute"
)

// Policy is a way to decide that runs side by side with others.
type Policy struct {
	Name string
	// Simple makes a plain proxy of a simple policy. A nil Simple is ours.
	Simple func(rng *rand.Rand) btroute.Policy
	// Owner holds the owners' settings of ours.
	Owner btowner.Config
	// AvoidCold is btroute.Scored's setting.
	AvoidCold bool
}

// Simple returns the three simple baselines.
func Simple() []Policy {
	return []Policy{
		{Name: "round robin", Simple: func(*rand.Rand) btroute.Policy { return &btroute.RoundRobin{} }},
		{Name: "least in flight", Simple: func(rng *rand.Rand) btroute.Policy { return &btroute.LeastInFlight{IntN: rng.IntN} }},
		{Name: "two random", Simple: func(rng *rand.Rand) btroute.Policy { return &btroute.TwoRandom{IntN: rng.IntN} }},
	}
}

// Earlier returns our earlier versions, oldest first.
func Earlier() []Policy {
	v1 := btowner.Config{Ramp: btramp.Config{SlowStepFactor: -1}, MemoryZScore: 2.33, AnyLengthWhenCold: true, StepsBetweenPrompts: -1}
	v2 := btowner.Config{MemoryZScore: 2.33, AnyLengthWhenCold: true, StepsBetweenPrompts: -1, Ramp: btramp.Config{NormalStepDwell: -1}}
	steady := btramp.Config{NormalStepDwell: -1}
	v3 := btowner.Config{AnyLengthWhenCold: true, StepsBetweenPrompts: -1, Ramp: steady}
	v4 := btowner.Config{StepsBetweenPrompts: -1, Ramp: steady}
	v5 := btowner.Config{StepsBetweenPrompts: -1}
	return []Policy{
		{Name: "ours 1", Owner: v1, AvoidCold: true},
		{Name: "ours 2", Owner: v2, AvoidCold: true},
		{Name: "ours 3", Owner: v3, AvoidCold: true},
		{Name: "ours 4", Owner: v4, AvoidCold: true},
		{Name: "ours 5", Owner: v5, AvoidCold: true},
		{Name: "ours 6", Owner: v5},
	}
}

// Ours returns the product's defaults.
func Ours() Policy { return Policy{Name: "ours"} }

// All returns all policies in the order of the table.
func All() []Policy { return append(append(Simple(), Earlier()...), Ours()) }
