package registrar

import (
	"maps"

	"jackdawcart.org/core/container"
)

// SetEvacuated replaces the failure domains whose targets accept no requests until the
// evacuation is taken back. It reports whether that changes anything.
func (r *Registry) SetEvacuated(domains container.Set[string]) bool {
	if maps.Equal(r.evacuated, domains) {
		return false
	}
	r.evacuated = maps.Clone(domains)
	r.byService = nil
	return true
}

// InDomains returns the targets in the given failure domains.
func (r *Registry) InDomains(domains container.Set[string]) []Record {
	var records []Record
	for _, record := range r.records {
		if domains.Has(record.Domain) {
			records = append(records, *record)
		}
	}
	return records
}
