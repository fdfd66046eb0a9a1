package runner

import (
	"reflect"
	"time"

	"jackdawcart.org/entry/configurer"
	"jackdawcart.org/platform/decoder"
)

// Settings are the values of both settings files.
type Settings struct {
	Own      configurer.Settings
	Platform decoder.Settings
}

// effect is when a changed setting takes effect.
type effect int

const (
	// now is immediately after the reload.
	now effect = iota
	// nextUse is when the value is used next, as at the next call of the store.
	nextUse
	// restart is when the process starts again.
	restart
)

// setting is a setting by the name that it has in its file.
type setting struct {
	name   string
	effect effect
	value  func(s Settings) any
}

var settings = []setting{
	{"nodeName", restart, func(s Settings) any { return s.Platform.VM }},
	{"zone", restart, func(s Settings) any { return s.Platform.Domain }},
	{"zones", restart, func(s Settings) any { return s.Platform.Regions }},
	{"bindAddresses.front", restart, func(s Settings) any { return s.Platform.CallerAddress }},
	{"bindAddresses.ready", restart, func(s Settings) any { return s.Platform.ReadinessAddress }},
	{"internalPortRange", restart, func(s Settings) any { return [2]uint16{s.Platform.FirstPort, s.Platform.LastPort} }},
	{"limits.memoryMb", restart, func(s Settings) any { return s.Platform.MemoryBytes }},
	{"limits.maxFds", restart, func(s Settings) any { return s.Platform.MaxFDs }},
	{"platform.address", now, func(s Settings) any { return s.Platform.StoreAddress }},
	{"platform.ttlMinMs", nextUse, func(s Settings) any { return s.Platform.MinLeaseTTL }},
	{"bounds.drainMs", nextUse, func(s Settings) any { return s.Platform.DrainNotice }},
	{"bounds.stabilityWindowMs", nextUse, func(s Settings) any { return s.Platform.StabilityWindow }},
	{"bounds.configApplyMs", nextUse, func(s Settings) any { return s.Platform.ConfigurationBound }},
	{"bounds.graceS", nextUse, func(s Settings) any { return s.Platform.ShutdownGrace }},
	{"bounds.retryBudgetRatio", now, func(s Settings) any { return s.Platform.RepeatRatio }},
	{"bounds.budgetExtraRetries", now, func(s Settings) any { return s.Platform.RepeatExtra }},
	{"bounds.budgetWindowS", now, func(s Settings) any { return s.Platform.RepeatWindow }},
	{"bounds.quotaWindowS", now, func(s Settings) any { return s.Platform.QuotaWindow }},
	{"bounds.quotaOverage", now, func(s Settings) any { return s.Platform.QuotaOverage }},
	{"bounds.quotaSlack", now, func(s Settings) any { return s.Platform.QuotaSlack }},
	{"bounds.coldOverage", now, func(s Settings) any { return s.Platform.ColdOverage }},
	{"bounds.coldSlack", now, func(s Settings) any { return s.Platform.ColdSlack }},
	{"log-level", now, func(s Settings) any { return s.Own.LogLevel }},
	{"store-timeout", nextUse, func(s Settings) any { return s.Own.StoreTimeout }},
	{"metrics-port", restart, func(s Settings) any { return s.Own.MetricsPort }},
	{"peer-port", restart, func(s Settings) any { return s.Own.PeerPort }},
	{"request-port", restart, func(s Settings) any { return s.Own.RequestPort }},
	{"quota-port", restart, func(s Settings) any { return s.Own.QuotaPort }},
	{"trace-endpoint", restart, func(s Settings) any { return s.Own.TraceEndpoint }},
	{"trace-share", restart, func(s Settings) any { return s.Own.TraceShare }},
	{"caller-time", restart, func(s Settings) any { return s.Own.CallerTime }},
	{"min-hedge-share", restart, func(s Settings) any { return s.Own.MinHedgeShare }},
}

// Changed returns the names of the settings that differ.
func Changed(before, after Settings) []string {
	return differing(before, after, func(effect) bool { return true })
}

// NeedRestart returns the names of the settings that differ and take effect only when the
// process starts again.
func NeedRestart(started, after Settings) []string {
	return differing(started, after, func(e effect) bool { return e == restart })
}

func differing(a, b Settings, counts func(effect) bool) []string {
	var names []string
	for _, s := range settings {
		if counts(s.effect) && !reflect.DeepEqual(s.value(a), s.value(b)) {
			names = append(names, s.name)
		}
	}
	return names
}

// applyBound returns the time within which a change of the store must be in force.
func applyBound(platform decoder.Settings) time.Duration {
	return min(platform.DrainNotice, platform.ConfigurationBound)
}
