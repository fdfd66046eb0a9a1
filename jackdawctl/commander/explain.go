package commander

import (
	"context"
	"fmt"
	"net/url"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"jackdawcart.org/core/adminapi"
	"jackdawcart.org/jackdawctl/viewer"
)

const (
	flagCaller  = "caller"
	flagQueryID = "query-id"
)

func (p *program) explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "show how a query would be answered, or how one was answered",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagService, Usage: "service of the query"},
			&cli.StringFlag{Name: flagCaller, Usage: "caller of the query"},
			&cli.StringFlag{Name: flagQueryID, Usage: "identity of a query that was answered lately"},
			&cli.StringFlag{Name: flagRequest, Usage: "id of a request that an entry VM answered, with --log"},
			&cli.StringSliceFlag{Name: flagLog, Usage: "log `FILE` of entry VMs; repeat or separate by commas"},
		},
		Action: p.explain,
	}
}

func (p *program) explain(ctx context.Context, cmd *cli.Command) error {
	if cmd.IsSet(flagRequest) || cmd.IsSet(flagLog) {
		return p.explainLog(cmd)
	}
	query := make(url.Values)
	if id := cmd.String(flagQueryID); id != "" {
		query.Set(adminapi.ParameterQueryID, id)
	} else {
		if cmd.String(flagService) == "" || cmd.String(flagCaller) == "" {
			return usageError("--%s and --%s are needed, or --%s", flagService, flagCaller, flagQueryID)
		}
		query.Set(adminapi.ParameterService, cmd.String(flagService))
		query.Set(adminapi.ParameterCaller, cmd.String(flagCaller))
	}
	views, err := readViews[adminapi.Explain](ctx, p, cmd, adminapi.PathExplain, query)
	if err != nil {
		return err
	}
	err = p.print(cmd, views, func() {
		for i := range views {
			if views[i].View != nil {
				p.printExplain(views[i].View)
			}
		}
	})
	if err != nil {
		return err
	}
	if cmd.IsSet(flagQueryID) {
		return p.checkQueryFound(views)
	}
	return p.reportFailures(viewFailures(views), len(views))
}

// checkQueryFound returns nil if any node has a record of the query. The failures of
// other nodes don't matter then, as only the query's gateway has a record.
func (p *program) checkQueryFound(views []viewer.View[adminapi.Explain]) error {
	for i := range views {
		if views[i].View != nil && views[i].View.Answered != nil {
			return nil
		}
	}
	for _, failure := range viewFailures(views) {
		fmt.Fprintln(p.errors, failure)
	}
	return withCode(merry.New("no node that answered has a record of the query"), ExitNotFound)
}

func (p *program) printExplain(e *adminapi.Explain) {
	line := func(format string, args ...any) { fmt.Fprintf(p.out, format+"\n", args...) }
	line("node %s (%s), service %s at revision %d, caller %s", e.Node, e.FailureDomain, e.Service, e.Revision, e.Caller)
	line("  set %s: %s (caller share %.4f)", e.Set, e.SetReason, e.CallerShare)
	line("  priority %s, admitted %t, deadline %s, hedge after %s within %.3g of sub-requests",
		e.Priority, e.Admitted, formatDuration(e.Deadline), formatDuration(e.HedgeDelay), e.HedgeBudget)
	for _, s := range e.Snapshots {
		line("  snapshot %s: sequence %d, coverage %.4f, chosen %t", s.Snapshot, s.Sequence, s.Coverage, s.Chosen)
	}
	for _, shard := range e.Shards {
		line("  shard %s, weight %g", shard.Shard, shard.Weight)
		for _, r := range shard.Replicas {
			line("    %s", replicaText(r))
		}
	}
	line("  expected coverage %.4f", e.Coverage)
	if e.Answered != nil {
		p.printAnswered(e.Answered)
	}
}

func replicaText(r adminapi.ReplicaChoice) string {
	state := "usable"
	if !r.Usable {
		state = "not usable: " + r.Reason
	}
	return fmt.Sprintf("%s (%s) by relay %s: %s, %d in flight, latency %s",
		r.Target, r.FailureDomain, r.Relay, state, r.InFlight, formatDuration(r.Latency))
}

func (p *program) printAnswered(a *adminapi.Answered) {
	fmt.Fprintf(p.out, "  query %s at %s: %s, coverage %.4f, snapshot %s, took %s\n",
		a.QueryID, formatTime(a.At), a.Outcome, a.Coverage, a.Snapshot, formatDuration(a.Elapsed))
	for _, t := range a.Attempts {
		fmt.Fprintf(p.out, "    shard %s, attempt %d (%s): %s by relay %s, started %s, took %s: %s\n",
			t.Shard, t.Attempt, t.Cause, t.Target, t.Relay, formatDuration(t.Start), formatDuration(t.Elapsed), t.Outcome)
	}
}
