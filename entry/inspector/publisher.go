package inspector

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"jackdawcart.org/core/quarantiner"
	"jackdawcart.org/platform/storer"
)

// prefix is the prefix of the store keys of reports. The fingerprint follows it, and then
// the incarnation of the lost target or clearedKey.
const (
	prefix     = "suspects/"
	clearedKey = "cleared"
)

const (
	// publishRetryDelay is the pause after a failed write.
	publishRetryDelay = 500 * time.Millisecond
	// republishSpread is the time over which the VMs write a report again that the
	// store has lost, so that one of them is the first.
	republishSpread = time.Second
	// minRepublishShare is the share of a quarantine's period that must be left for a
	// lost report to be written again.
	minRepublishShare = 0.1
)

// Store is the platform's store.
type Store interface {
	Grant(ctx context.Context, ttl time.Duration) (storer.Lease, error)
	PutAll(ctx context.Context, items []storer.Item, lease storer.Lease) error
}

// Link tells whether the store can be reached.
type Link interface {
	State() (up bool, changed <-chan struct{})
}

// Publish writes the reports of this VM to the store until the context ends. The keys
// last as long as a quarantine. While the store is unreachable, the reports wait.
func (i *Inspector) Publish(ctx context.Context, store Store, link Link) {
	for {
		select {
		case <-i.due:
		case <-ctx.Done():
			return
		}
		if up, _ := link.State(); !up {
			continue
		}
		if err := i.publishDue(ctx, store); err != nil {
			i.log.Warn("cannot publish lost targets", zap.Error(err))
			i.timers.Sleep(ctx, publishRetryDelay)
		}
	}
}

func (i *Inspector) publishDue(ctx context.Context, store Store) error {
	due := i.Unpublished()
	if len(due) == 0 {
		return nil
	}
	lease, err := store.Grant(ctx, quarantiner.DefaultConfig().Period)
	if err != nil {
		return err
	}
	items := make([]storer.Item, len(due))
	for k, report := range due {
		items[k] = storer.Item{Key: keyOf(report), Value: []byte("{}")}
	}
	if err := store.PutAll(ctx, items, lease); err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, report := range due {
		i.reports.Published(report)
	}
	return nil
}

func keyOf(report quarantiner.Report) string {
	name := report.Target
	if report.Clearance() {
		name = clearedKey
	}
	return prefix + quarantiner.FormatFingerprint(report.Fingerprint) + "/" + name
}

// parseKey returns the report that a key stands for, and false for other keys.
func parseKey(key string) (quarantiner.Report, bool) {
	rest, ok := strings.CutPrefix(key, prefix)
	if !ok {
		return quarantiner.Report{}, false
	}
	text, name, ok := strings.Cut(rest, "/")
	fingerprint, err := strconv.ParseUint(text, 16, 64)
	if !ok || err != nil || fingerprint == 0 || name == "" {
		return quarantiner.Report{}, false
	}
	if name == clearedKey {
		name = ""
	}
	return quarantiner.Report{Fingerprint: fingerprint, Target: name}, true
}

// ApplyItems records changes of the store. Items that are not reports are ignored.
func (i *Inspector) ApplyItems(items []storer.Item) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.timers.Now()
	for _, item := range items {
		report, ok := parseKey(item.Key)
		switch {
		case !ok:
		case item.Gone:
			i.recordWithdrawn(now, report)
		default:
			i.recordPublished(now, report, settleTime)
		}
	}
}

// ReplaceItems records the whole content of the store.
func (i *Inspector) ReplaceItems(items []storer.Item) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.timers.Now()
	reports := i.keepClearances(now, currentReports(items))
	for _, report := range i.reports.AllPublished() {
		if !slices.Contains(reports, report) {
			i.recordWithdrawn(now, report)
		}
	}
	for _, report := range reports {
		// A VM that starts must not send a poison request for a grace period.
		i.recordPublished(now, report, quarantiner.DefaultConfig().Grace)
	}
}

// keepClearances returns the reports of a full listing without the losses of requests that
// are cleared but whose clearance is missing: the store was restored from a copy older than
// it. Those clearances are written again. The caller holds mu.
func (i *Inspector) keepClearances(now time.Time, reports []quarantiner.Report) []quarantiner.Report {
	for _, clearance := range i.reports.AllPublished() {
		if !clearance.Clearance() || slices.Contains(reports, clearance) {
			continue
		}
		reports = slices.DeleteFunc(reports, func(loss quarantiner.Report) bool {
			if loss.Fingerprint != clearance.Fingerprint {
				return false
			}
			i.reports.Published(loss)
			return true
		})
		i.setActive(now)
		i.reports.Clear(now.Add(rand.N(republishSpread)), clearance.Fingerprint)
	}
	return reports
}

// currentReports returns the reports among items in the order in which they were written,
// without the losses before a clearance and without clearances before a loss.
func currentReports(items []storer.Item) []quarantiner.Report {
	items = slices.SortedFunc(slices.Values(items), func(a, b storer.Item) int { return cmp.Compare(a.Revision, b.Revision) })
	var reports []quarantiner.Report
	for _, item := range items {
		report, ok := parseKey(item.Key)
		if !ok {
			continue
		}
		reports = slices.DeleteFunc(reports, func(other quarantiner.Report) bool {
			return other.Fingerprint == report.Fingerprint && other.Clearance() != report.Clearance()
		})
		reports = append(reports, report)
	}
	return reports
}

// recordPublished records a report in the store, which is at least as old as age. The
// caller holds mu.
func (i *Inspector) recordPublished(now time.Time, report quarantiner.Report, age time.Duration) {
	i.reports.Published(report)
	if report.Clearance() {
		i.recordClearance(now, report.Fingerprint)
		return
	}
	i.setActive(now)
	i.state.LostTarget(now.Add(-age), report.Target, onlyLossID, []uint64{report.Fingerprint})
}

// recordWithdrawn records a report that the store no longer holds. If that is because its
// leases ended during an outage, a VM that starts would not know the quarantine, so the
// report is written again. The caller holds mu.
func (i *Inspector) recordWithdrawn(now time.Time, report quarantiner.Report) {
	if !i.reports.Withdrawn(report) || report.Clearance() {
		return
	}
	minRemaining := time.Duration(minRepublishShare * float64(quarantiner.DefaultConfig().Period))
	if i.state.Quarantined(now, report.Fingerprint) > minRemaining {
		i.setActive(now)
		i.reports.Add(report, now.Add(rand.N(republishSpread)))
	}
}
