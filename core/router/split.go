package router

import "math/rand/v2"

// PickService selects a service of a split at random, in proportion to the weights.
// It returns false if no service has a positive weight.
func PickService(rng *rand.Rand, split []WeightedService) (string, bool) {
	var total float64
	for _, weighted := range split {
		total += max(weighted.Weight, 0)
	}
	if total <= 0 {
		return "", false
	}
	remaining := rng.Float64() * total
	for _, weighted := range split {
		remaining -= max(weighted.Weight, 0)
		if remaining < 0 {
			return weighted.Service, true
		}
	}
	return split[len(split)-1].Service, true
}
