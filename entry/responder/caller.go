package responder

import (
	"net/http"
	"slices"

	"jackdawcart.org/core/container"
	"jackdawcart.org/core/forwarder"
	"jackdawcart.org/core/registrar"
	"jackdawcart.org/core/router"
	"jackdawcart.org/platform/decoder"
)

// caller is what is known of the sender of a request.
type caller struct {
	// known is set if the configuration has workspaces.
	known bool
	// workspace is nil on a public route, and if the configuration has no workspaces.
	workspace *router.Workspace
	key       container.Option[router.KeyDigest]
}

// authorize returns the caller of a request, and false if the route needs a key that the
// request does not carry. A VM that passes a request on sends the digest of the key.
func authorize(table *router.Table, route *router.Route, request *http.Request, h hop) (caller, bool) {
	c := caller{known: table.HasWorkspaces()}
	if !c.known || route.Public {
		return c, true
	}
	key, ok := h.Key.Get()
	if !ok {
		key, ok = decoder.CallerKey(request.Header)
	}
	if !ok {
		return c, false
	}
	c.key = container.Some(key)
	c.workspace, ok = table.WorkspaceByKey(key)
	return c, ok
}

// identity returns what targets learn of the caller.
func (c caller) identity() decoder.Identity {
	return decoder.Identity{Known: c.known, Workspace: c.name()}
}

// name returns the name of the workspace, empty without one.
func (c caller) name() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name
}

// scope returns the prefix that keeps equal requests of different workspaces apart.
func (c caller) scope() string {
	if c.workspace == nil {
		return ""
	}
	return c.workspace.Name + " "
}

// inRegions returns whether a failure domain lies in the regions to which the route and
// the workspace restrict a request; nil if neither does.
func (c *call) inRegions() func(domain string) bool {
	var lists [][]string
	if len(c.route.Regions) > 0 {
		lists = append(lists, c.route.Regions)
	}
	if w := c.caller.workspace; w != nil && len(w.Regions) > 0 {
		lists = append(lists, w.Regions)
	}
	if len(lists) == 0 {
		return nil
	}
	return func(domain string) bool {
		region := c.responder.Regions[domain]
		return !slices.ContainsFunc(lists, func(regions []string) bool { return !slices.Contains(regions, region) })
	}
}

// allowedVM returns whether a VM in a failure domain may take the request; nil if all may. A
// VM in the region of this one may, as the caller has sent the request there itself.
func (c *call) allowedVM() func(domain string) bool {
	inRegions := c.inRegions()
	if inRegions == nil {
		return nil
	}
	regions, own := c.responder.Regions, c.responder.Regions[c.responder.Domain]
	return func(domain string) bool { return regions[domain] == own || inRegions(domain) }
}

// directory returns the targets that the request may be sent to.
func (c *call) directory() forwarder.Directory {
	inRegions := c.inRegions()
	if inRegions == nil {
		return c.responder.Directory
	}
	return regionalDirectory{c.responder.Directory, inRegions}
}

// regionalDirectory lists only the targets in some failure domains.
type regionalDirectory struct {
	forwarder.Directory
	allowed func(domain string) bool
}

// Targets returns the allowed targets of a service.
func (d regionalDirectory) Targets(service string) []registrar.Record {
	var allowed []registrar.Record
	for _, record := range d.Directory.Targets(service) {
		if d.allowed(record.Domain) {
			allowed = append(allowed, record)
		}
	}
	return allowed
}
