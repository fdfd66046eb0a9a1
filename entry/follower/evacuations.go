package follower

import (
	"maps"

	"go.uber.org/zap"

	"jackdawcart.org/core/container"
	"jackdawcart.org/core/registrar"
	"jackdawcart.org/platform/decoder"
	"jackdawcart.org/platform/storer"
)

// replaceEvacuations applies the evacuations of a full listing.
func (f *Follower) replaceEvacuations(items []storer.Item) {
	domains := container.NewSet[string]()
	for _, item := range items {
		if domain, ok := decoder.EvacuatedDomain(item.Key); ok && !item.Gone {
			domains.Add(domain)
		}
	}
	f.setEvacuated(domains)
}

// applyEvacuations applies the evacuations that began or ended in a listing of changes.
func (f *Follower) applyEvacuations(items []storer.Item) {
	var domains container.Set[string]
	for _, item := range items {
		domain, ok := decoder.EvacuatedDomain(item.Key)
		if !ok {
			continue
		}
		if domains == nil {
			domains = container.NewSet[string]()
			maps.Copy(domains, f.evacuated)
		}
		if item.Gone {
			domains.Remove(domain)
			continue
		}
		domains.Add(domain)
	}
	if domains != nil {
		f.setEvacuated(domains)
	}
}

func (f *Follower) setEvacuated(domains container.Set[string]) {
	changed := false
	f.state.updateRegistry(func(r *registrar.Registry) { changed = r.SetEvacuated(domains) })
	if !changed {
		return
	}
	f.evacuated = domains
	f.log.Info("failure domains evacuated", zap.Strings("domains", container.Sorted(domains)))
	f.listeners.Evacuated(domains)
}
