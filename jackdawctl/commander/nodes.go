package commander

import (
	"context"
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/urfave/cli/v3"

	"jackdawcart.org/core/adminapi"
	"jackdawcart.org/core/parser"
	"jackdawcart.org/jackdawctl/viewer"
)

const (
	flagService = "service"
	flagState   = "state"
)

func (p *program) nodeCommands() []*cli.Command {
	service := &cli.StringFlag{Name: flagService, Usage: "show this service only"}
	return []*cli.Command{
		{Name: "nodes", Usage: "show the members that nodes see", Action: p.nodesView},
		{
			Name: "targets", Usage: "show the targets that nodes see",
			Flags:  []cli.Flag{service, &cli.StringFlag{Name: flagState, Usage: "show targets in this state only"}},
			Action: p.targets,
		},
		{
			Name: "configuration", Usage: "show revision and age of the configuration on nodes",
			Flags: []cli.Flag{service}, Action: p.configuration,
		},
		{Name: "quarantine", Usage: "show the requests that nodes refuse", Action: p.quarantine},
	}
}

// readViews reads one view from each node of the command line.
func readViews[T any](ctx context.Context, p *program, cmd *cli.Command, path string, query url.Values) ([]viewer.View[T], error) {
	if cmd.Args().Present() {
		return nil, usageError("unexpected argument %q", cmd.Args().First())
	}
	client, addresses, err := p.nodeClient(ctx, cmd)
	if err != nil {
		return nil, err
	}
	return viewer.ReadViews[T](ctx, client, addresses, path, query), nil
}

// printViews prints views as JSON or as a table, and then the failures of nodes.
func printViews[T any](p *program, cmd *cli.Command, views []viewer.View[T], header string, rows func(*T) [][]any) error {
	err := p.print(cmd, views, func() {
		var all [][]any
		for i := range views {
			if views[i].View != nil {
				all = append(all, rows(views[i].View)...)
			}
		}
		p.printTable(header, all)
	})
	if err != nil {
		return err
	}
	return p.reportFailures(viewFailures(views), len(views))
}

func viewFailures[T any](views []viewer.View[T]) []string {
	var failures []string
	for i := range views {
		if views[i].View == nil && !views[i].NotServed {
			failures = append(failures, fmt.Sprintf("%s: %s", views[i].Address, views[i].Failure))
		}
	}
	return failures
}

// reportFailures prints the failures of nodes and returns the error for them.
func (p *program) reportFailures(failures []string, total int) error {
	if len(failures) == 0 {
		return nil
	}
	for _, failure := range failures {
		fmt.Fprintln(p.errors, failure)
	}
	code := ExitPartial
	if len(failures) == total {
		code = ExitUnreachable
	}
	return withCode(merry.Errorf("%d of %d processes gave no answer", len(failures), total), code)
}

func (p *program) nodesView(ctx context.Context, cmd *cli.Command) error {
	views, err := readViews[adminapi.Members](ctx, p, cmd, adminapi.PathMembers, nil)
	if err != nil {
		return err
	}
	const header = "SEEN-BY NODE FAILURE-DOMAIN STATE INCARNATION SESSION-ADDRESS GATEWAYS-READY CHANGED"
	return printViews(p, cmd, views, header, func(view *adminapi.Members) [][]any {
		var rows [][]any
		for _, m := range view.Members {
			rows = append(rows, []any{
				view.Node, m.Node, m.FailureDomain, m.State, m.Incarnation, m.SessionAddress, countReady(m.Gateways), formatTime(m.ChangedAt),
			})
		}
		return rows
	})
}

func countReady(gateways []adminapi.Gateway) string {
	count := 0
	for _, gateway := range gateways {
		if gateway.Ready {
			count++
		}
	}
	return fmt.Sprintf("%d/%d", count, len(gateways))
}

func (p *program) targets(ctx context.Context, cmd *cli.Command) error {
	views, err := readViews[adminapi.Targets](ctx, p, cmd, adminapi.PathTargets, nil)
	if err != nil {
		return err
	}
	for i := range views {
		if views[i].View != nil {
			views[i].View.Targets = filterTargets(cmd, views[i].View.Targets)
		}
	}
	const header = "SEEN-BY SERVICE SET TARGET FAILURE-DOMAIN STATE IN-FLIGHT QUEUED LIMIT CONNECTIONS P50 P99 OWNERS REASON"
	return printViews(p, cmd, views, header, func(view *adminapi.Targets) [][]any {
		var rows [][]any
		for _, t := range view.Targets {
			connections := fmt.Sprintf("%d/%d", t.Connections.Open, t.Connections.Allotment)
			rows = append(rows, []any{
				view.Node, t.Service, t.Set, t.Name, t.FailureDomain, t.State, t.InFlight, t.Queued, t.Limit, connections,
				formatDuration(t.LatencyP50), formatDuration(t.LatencyP99), strings.Join(t.Owners, ","), t.Reason,
			})
		}
		return rows
	})
}

func filterTargets(cmd *cli.Command, all []adminapi.Target) []adminapi.Target {
	service, state := cmd.String(flagService), cmd.String(flagState)
	matching := []adminapi.Target{}
	for _, t := range all {
		if (service == "" || t.Service == service) && (state == "" || t.State == state) {
			matching = append(matching, t)
		}
	}
	return matching
}

func formatDuration(d parser.Duration) string { return time.Duration(d).String() }

func (p *program) configuration(ctx context.Context, cmd *cli.Command) error {
	views, err := readViews[adminapi.Configuration](ctx, p, cmd, adminapi.PathConfiguration, nil)
	if err != nil {
		return err
	}
	service := cmd.String(flagService)
	if service == "" {
		const header = "NODE PROCESS FAILURE-DOMAIN REVISION BEHIND AGE SOURCE READER SERVICES"
		newest := newestRevision(views)
		return printViews(p, cmd, views, header, func(c *adminapi.Configuration) [][]any {
			return [][]any{{
				c.Node, c.Process, c.FailureDomain, c.Revision, newest - c.Revision, formatDuration(c.Age), c.Source, c.Reader, len(c.Services),
			}}
		})
	}
	const header = "NODE PROCESS FAILURE-DOMAIN SERVICE REVISION DELETED APPLIED EDIT AGE"
	return printViews(p, cmd, views, header, func(c *adminapi.Configuration) [][]any {
		var rows [][]any
		for _, s := range c.Services {
			if s.Service == service {
				rows = append(rows, []any{
					c.Node, c.Process, c.FailureDomain, s.Service, s.Revision, s.Deleted, formatTime(s.AppliedAt), s.Edit, formatDuration(c.Age),
				})
			}
		}
		return rows
	})
}

// newestRevision returns the newest revision that any node reports, whether it has
// applied it or not.
func newestRevision(views []viewer.View[adminapi.Configuration]) uint64 {
	var newest uint64
	for i := range views {
		if c := views[i].View; c != nil {
			newest = max(newest, c.Revision, c.NewestKnownRevision)
		}
	}
	return newest
}

func (p *program) quarantine(ctx context.Context, cmd *cli.Command) error {
	views, err := readViews[adminapi.Quarantine](ctx, p, cmd, adminapi.PathQuarantine, nil)
	if err != nil {
		return err
	}
	const header = "SEEN-BY STATE FINGERPRINT SERVICE OPERATION LOST-TARGETS SINCE UNTIL REFUSED"
	return printViews(p, cmd, views, header, func(q *adminapi.Quarantine) [][]any {
		var rows [][]any
		for _, e := range q.Entries {
			lost := strings.Join(e.LostTargets, ",")
			rows = append(rows, []any{
				q.Node, "refused", e.Fingerprint, e.Service, e.Operation, lost, formatTime(e.Since), formatTime(e.Until), e.Refused,
			})
		}
		for _, s := range q.Suspects {
			rows = append(rows, []any{
				q.Node, "suspect", s.Fingerprint, s.Service, s.Operation, s.LostTarget, formatTime(s.Since), "", "",
			})
		}
		return rows
	})
}
