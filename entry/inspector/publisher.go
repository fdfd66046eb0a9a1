package inspector

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"jackdawcart.org/core/logger"
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
		items[k] = storer.Item{Key: keyOf(report), Value: valueOf(report)}
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

// reportValue is the value of a report's key.
type reportValue struct {
	// Parts are the services of the report. VMs of earlier versions leave them out: a loss then
	// concerns all, and a clearance only such losses.
	Parts []string `json:"parts,omitempty"`
}

func valueOf(report quarantiner.Report) []byte {
	value, err := json.Marshal(reportValue{Parts: report.Parts})
	if err != nil {
		// Strings can always be encoded.
		panic(err)
	}
	return value
}

// parseItem returns the report that an item stands for, and false for other items. Of a
// removed key only the fingerprint and the target are set. An invalid key or value gives an
// error, with what could be read of the key.
func parseItem(item storer.Item) (report quarantiner.Report, ok bool, err error) {
	rest, ok := strings.CutPrefix(item.Key, prefix)
	if !ok {
		return quarantiner.Report{}, false, nil
	}
	text, name, ok := strings.Cut(rest, "/")
	fingerprint, err := strconv.ParseUint(text, 16, 64)
	if !ok || err != nil || fingerprint == 0 || name == "" {
		return quarantiner.Report{}, true, errors.New("the key has no fingerprint or no target")
	}
	if name == clearedKey {
		name = ""
	}
	report = quarantiner.Report{Fingerprint: fingerprint, Target: name}
	if item.Gone {
		return report, true, nil
	}
	if len(item.Value) == 0 {
		return report, true, nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(item.Value, &fields); err != nil {
		return report, true, err
	}
	parts, ok := fields[partsField]
	if !ok && len(fields) > 0 {
		// A report with a misspelled field would concern all parts.
		return report, true, errors.New("parts is missing")
	}
	if ok {
		err = json.Unmarshal(parts, &report.Parts)
	}
	return report, true, cmp.Or(err, checkReport(report))
}

// partsField is the name of reportValue's field.
const partsField = "parts"

// Bounds of what is kept of a report of another process. No target or service has a name of
// half that length, and no index has so many shards.
const (
	maxNameBytes = 256
	maxParts     = 1024
)

// checkReport returns an error if a report of another process is invalid.
func checkReport(report quarantiner.Report) error {
	switch {
	case report.Fingerprint == 0:
		return errors.New("no fingerprint")
	case len(report.Target) > maxNameBytes || len(report.Parts) > maxParts:
		return errors.New("the target or the list of parts is too long")
	case slices.ContainsFunc(report.Parts, func(part string) bool { return part == "" || len(part) > maxNameBytes }):
		return errors.New("a part is empty or too long")
	default:
		return nil
	}
}

func newRejections(scope tally.Scope, log *zap.Logger) *logger.Rejections {
	return logger.NewRejections(log, func(kind string) {
		scope.Tagged(map[string]string{"kind": kind}).Counter("entries_rejected").Inc(1)
	})
}

// rejectedLoss is the kind of rejected reports.
const rejectedLoss = "loss"

// ApplyItems records changes of the store. Items that are not reports are ignored.
func (i *Inspector) ApplyItems(items []storer.Item) {
	i.mu.Lock()
	defer i.mu.Unlock()
	now := i.timers.Now()
	for _, item := range items {
		report, ok, err := parseItem(item)
		switch {
		case !ok:
		case err != nil:
			i.rejections.Add(rejectedLoss, item.Key, err)
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
	current, unreadable := i.currentReports(items)
	reports := i.keepClearances(now, current)
	for _, report := range i.reports.AllPublished() {
		if !contains(reports, report) && !contains(unreadable, report) {
			i.recordWithdrawn(now, report)
		}
	}
	for _, report := range reports {
		// A VM that starts must not send a poison request for a grace period.
		i.recordPublished(now, report, quarantiner.DefaultConfig().Grace)
	}
}

// contains reports whether one of the reports has the key of another.
func contains(reports []quarantiner.Report, report quarantiner.Report) bool {
	return slices.ContainsFunc(reports, func(r quarantiner.Report) bool {
		return r.Fingerprint == report.Fingerprint && r.Target == report.Target
	})
}

// keepClearances returns the reports of a full listing without the losses that are cleared
// but whose clearance is missing: the store was restored from a copy older than it. Those
// clearances are written again. The caller holds mu.
func (i *Inspector) keepClearances(now time.Time, reports []quarantiner.Report) []quarantiner.Report {
	for _, clearance := range i.reports.AllPublished() {
		if !clearance.Clearance() || contains(reports, clearance) {
			continue
		}
		reports = slices.DeleteFunc(reports, func(loss quarantiner.Report) bool {
			if loss.Fingerprint != clearance.Fingerprint || !clearance.Ends(loss) {
				return false
			}
			i.reports.Published(loss)
			return true
		})
		i.setActive(now)
		i.clearReports(now.Add(rand.N(republishSpread)), clearance)
	}
	return reports
}

// currentReports returns the reports among items that hold, by the order in which they were
// written, and those whose value cannot be read, which stay as they are.
func (i *Inspector) currentReports(items []storer.Item) (current, unreadable []quarantiner.Report) {
	items = slices.SortedFunc(slices.Values(items), func(a, b storer.Item) int { return cmp.Compare(a.Revision, b.Revision) })
	var reports []quarantiner.Report
	for _, item := range items {
		report, ok, err := parseItem(item)
		switch {
		case !ok:
		case err != nil:
			i.rejections.Add(rejectedLoss, item.Key, err)
			unreadable = append(unreadable, report)
		default:
			reports = append(reports, report)
		}
	}
	return quarantiner.Current(reports), unreadable
}

// recordPublished records a report in the store, which is at least as old as age. The
// caller holds mu.
func (i *Inspector) recordPublished(now time.Time, report quarantiner.Report, age time.Duration) {
	i.reports.Published(report)
	if report.Clearance() {
		i.recordClearance(now, report)
		return
	}
	i.setActive(now)
	i.state.LostTarget(now.Add(-age), report.Target, onlyLossID, report.Runs())
}

// recordWithdrawn records a report that the store no longer holds. If that is because its
// leases ended during an outage, a VM that starts would not know the quarantine, so the
// report is written again. The caller holds mu.
func (i *Inspector) recordWithdrawn(now time.Time, report quarantiner.Report) {
	report, ok := i.reports.Withdrawn(report)
	if !ok || report.Clearance() {
		return
	}
	minRemaining := time.Duration(minRepublishShare * float64(quarantiner.DefaultConfig().Period))
	if i.state.Quarantined(now, report.Fingerprint) > minRemaining {
		i.setActive(now)
		i.reports.Add(report, now.Add(rand.N(republishSpread)))
	}
}
