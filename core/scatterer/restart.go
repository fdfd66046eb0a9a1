package scatterer

import "jackdawcart.org/core/messenger/peerpb"

// abandonSnapshot stops using the snapshot of a service. All its sub-requests
// restart on another one, so that an answer never mixes snapshots.
func (q *query) abandonSnapshot(p *part, batches map[string]*peerpb.Batch) {
	p.goneSnapshots.Add(p.plan.Snapshot)
	if p.restarts >= q.engine.config.MaxRestarts {
		q.endPart(p)
		return
	}
	p.awaitingSnapshot = true
	q.restart(p, batches)
}

// restart switches a part to another snapshot if one is known. Until then,
// shards already answered from the old one still count.
func (q *query) restart(p *part, batches map[string]*peerpb.Batch) {
	plan := q.planPart(p)
	if plan.Snapshot == "" || plan.Coverage() == 0 {
		return
	}
	for _, s := range p.subs {
		q.cancelAttempts(s)
		q.end(s)
	}
	p.awaitingSnapshot = false
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
