package router

import "math/rand/v2"

// PickShare returns the service of a weighted split, at random in proportion
// to the weights.
func PickShare(rng *rand.Rand, split []Share) (string, bool) {
	var total float64
	for _, share := range split {
		total += max(share.Weight, 0)
	}
	if total <= 0 {
		return "", false
	}
	point := rng.Float64() * total
	for _, share := range split {
		point -= max(share.Weight, 0)
		if point < 0 {
			return share.Service, true
		}
	}
	return split[len(split)-1].Service, true
}
