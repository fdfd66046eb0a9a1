package scatterer

import "jackdawcart.org/core/messenger/peerpb"

// abandonSnapshot gives up the snapshot of a service: all its sub-requests
// start again on another one, so that no answer mixes two snapshots.
func (q *query) abandonSnapshot(p *part, batches map[string]*peerpb.Batch) {
	p.gone.Add(p.plan.Snapshot)
	if p.restarts >= q.engine.config.MaxRestarts {
		q.endPart(p)
		return
	}
	p.stale = true
	q.restart(p, batches)
}

// restart moves a stale part to another snapshot, if one is known by now.
// Until then the shards that answered keep counting for the old one.
func (q *query) restart(p *part, batches map[string]*peerpb.Batch) {
	plan := q.planPart(p)
	if plan.Snapshot == "" || plan.Coverage() == 0 {
		return
	}
	for _, s := range p.subs {
		q.cancelAttempts(s)
		q.end(s)
	}
	p.stale = false
	p.restarts++
	q.stats.Restarts++
	p.plan = plan
	q.addSubs(p)
	q.startPart(p, batches)
}

func (q *query) endPart(p *part) {
	for _, s := range p.subs {
		q.end(s)
	}
}
