package scatterer

import "jackdawcart.org/core/merger"

// answer merges the hits received so far and computes the coverage.
func (q *query) answer() *Answer {
	answer := &Answer{QueryID: q.id, Stats: q.stats, Complete: true}
	var total merger.Coverage
	var lists [][]merger.Hit
	withShardMap := 0
	for _, p := range q.parts {
		coverage, missing := p.coverage()
		if coverage.Share() > 0 || len(p.plan.Shards) > 0 {
			withShardMap++
		}
		total.Join(coverage)
		answer.Complete = answer.Complete && coverage.Complete()
		answer.Services = append(answer.Services, ServiceAnswer{
			Service:  p.plan.Service,
			Set:      p.plan.Set,
			Snapshot: p.plan.Snapshot,
			Coverage: coverage.Share(),
			Missing:  missing,
		})
		for _, s := range p.subs {
			lists = append(lists, s.hits)
			answer.Overloaded = answer.Overloaded || (!s.answered && s.overloaded)
		}
	}
	answer.Hits = merger.Merge(lists, q.request.Limit)
	answer.Coverage = total.Share()
	if withShardMap < len(q.parts) {
		// The weight of a service without a known shard map is unknown. It is assumed
		// to be the average of the others and counts as not covered.
		answer.Coverage *= float64(withShardMap) / float64(len(q.parts))
	}
	return answer
}

func (p *part) coverage() (merger.Coverage, []string) {
	var coverage merger.Coverage
	missing := []string{}
	for _, s := range p.subs {
		coverage.Add(s.shard.Shard.Weight, s.answered)
		if !s.answered {
			missing = append(missing, s.shard.Shard.Name)
		}
	}
	return coverage, missing
}
