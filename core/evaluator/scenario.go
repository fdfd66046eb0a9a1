package evaluator

import (
	"math/rand/v2"
	"time"
)

// Deadline is the time after its arrival within which a query must be answered.
const Deadline = 130 * time.Millisecond

// Scenario describes one run: a deployment, the offered load and the faults.
type Scenario struct {
	Name       string
	Deployment Deployment
	// Load is the offered load as a share of capacity.
	Load float64
	// Warmup is the time before the measured Duration.
	Warmup, Duration time.Duration
	Crest            *Crest
	Faults           []Fault
	// NoiseEvery is the mean time between two noisy neighbour episodes of a
	// target; 0 means none.
	NoiseEvery time.Duration
	// ReplaceAt is when the snapshot is replaced; 0 means never.
	ReplaceAt time.Duration
	Seed      uint64
}

// Crest is a temporary rise of the load within a run.
type Crest struct {
	Start, Length time.Duration
	// Load is the offered load as a share of capacity.
	Load float64
}

// FaultKind is the effect of a fault on a target.
type FaultKind int

// Kinds of faults.
const (
	// Slow multiplies the service times by the Factor of the fault.
	Slow FaultKind = iota
	// Lost makes a target unreachable.
	Lost
	// Cold keeps a target unreachable until the end of the fault. The target then
	// serves with service times that are multiplied by a factor, which falls
	// from Factor to 1 within coldPeriod.
	Cold
)

// Fault affects some targets for a period.
type Fault struct {
	Kind        FaultKind
	From, Until time.Duration
	Factor      float64
	// Every selects every n-th target. When it is 0, Replica selects the replica
	// with that index in every shard.
	Every, Replica int
}

// Constants of the faults.
const (
	coldPeriod = 3 * time.Second
	// noiseLength and noiseFactor are the duration of a noisy neighbour episode
	// and the multiple of the service times during it.
	noiseLength = 2 * time.Second
	noiseFactor = 10
	// detectionDelay is how long relays take to report a lost target as lost.
	detectionDelay = time.Second
)

func (f Fault) affects(t *targetSpec) bool {
	if f.Every > 0 {
		return t.index%f.Every == 0
	}
	return t.replica == f.Replica
}

func (f Fault) active(at time.Duration) bool { return at >= f.From && at < f.Until }

func (s Scenario) length() time.Duration { return s.Warmup + s.Duration }

func (s Scenario) loadAt(at time.Duration) float64 {
	if s.Crest != nil && s.Crest.contains(at) {
		return s.Crest.Load
	}
	return s.Load
}

func (c *Crest) contains(at time.Duration) bool { return at >= c.Start && at < c.Start+c.Length }

// targetSpec is one target of a scenario with the faults that affect it.
type targetSpec struct {
	index, replica int
	name           string
	domain         string
	service        *Service
	shard          string
	faults         []Fault
	// The target holds the new snapshot from newLoadedAt on, and the old one until
	// oldDroppedAt.
	newLoadedAt, oldDroppedAt time.Duration
}

// factor returns the factor by which service times are multiplied at a moment.
func (t *targetSpec) factor(at time.Duration) float64 {
	factor := 1.0
	for _, f := range t.faults {
		switch {
		case f.Kind == Slow && f.active(at):
			factor = max(factor, f.Factor)
		case f.Kind == Cold && at >= f.Until && at < f.Until+coldPeriod:
			remaining := 1 - float64(at-f.Until)/float64(coldPeriod)
			factor = max(factor, 1+(f.Factor-1)*remaining)
		}
	}
	return factor
}

// lost reports whether the target cannot be reached at a moment.
func (t *targetSpec) lost(at time.Duration) bool {
	for _, f := range t.faults {
		if f.Kind != Slow && f.active(at) {
			return true
		}
	}
	return false
}

// targets lists the targets of a scenario. The replicas of a shard are in
// different failure domains.
func (s Scenario) targets() []*targetSpec {
	rng := rand.New(rand.NewPCG(s.Seed, 2))
	var list []*targetSpec
	for i := range s.Deployment.Services {
		service := &s.Deployment.Services[i]
		for shard := range service.Shards {
			for replica := range service.Replicas {
				list = append(list, s.newTargetSpec(rng, len(list), service, shard, replica))
			}
		}
	}
	return list
}

func (s Scenario) newTargetSpec(rng *rand.Rand, index int, service *Service, shard, replica int) *targetSpec {
	domains := s.Deployment.FailureDomains
	t := &targetSpec{
		index:        index,
		replica:      replica,
		name:         targetName(service.Name, shard, replica),
		domain:       domains[(shard+replica)%len(domains)],
		service:      service,
		shard:        shardName(shard),
		oldDroppedAt: s.length() + time.Hour,
	}
	for _, f := range s.Faults {
		if f.affects(t) {
			t.faults = append(t.faults, f)
		}
	}
	if s.NoiseEvery > 0 {
		t.faults = append(t.faults, s.noiseEpisodes(rng)...)
	}
	if s.ReplaceAt > 0 {
		t.newLoadedAt = s.ReplaceAt + replaceSpread*time.Duration(replica)/time.Duration(service.Replicas)
		t.oldDroppedAt = t.newLoadedAt + replaceOverlap
	}
	return t
}

// noiseEpisodes draws the noisy neighbour episodes of one target at random.
func (s Scenario) noiseEpisodes(rng *rand.Rand) []Fault {
	var episodes []Fault
	at := time.Duration(rng.ExpFloat64() * float64(s.NoiseEvery))
	for at < s.length() {
		episodes = append(episodes, Fault{Kind: Slow, From: at, Until: at + noiseLength, Factor: noiseFactor})
		at += noiseLength + time.Duration(rng.ExpFloat64()*float64(s.NoiseEvery))
	}
	return episodes
}
