package router

import (
	"crypto/sha256"

	"jackdawcart.org/core/container"
)

// KeyDigest identifies a caller's key without containing it, so that keys are neither
// kept in memory nor sent between VMs.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Workspace is a customer of the platform, whose callers are known by their keys.
type Workspace struct {
	Name string
	// Priority comes before that of the route, if there is one.
	Priority container.Option[int]
	// Rate is the number of requests a second that all VMs together admit, and Burst what
	// is admitted beyond it at once. A Rate of 0 means no quota.
	Rate  float64
	Burst float64
	// Regions lists the regions in which requests of the workspace may be handled; all if
	// it is empty.
	Regions []string
}

// Credentials are the keys of a workspace.
type Credentials struct {
	Workspace Workspace
	Keys      []KeyDigest
}

// KeyConflict names two workspaces that have the same key. The first one keeps it.
type KeyConflict struct{ Holder, Other string }

// SetWorkspaces makes the table require the keys of the given workspaces. It must be called
// before the table is used.
func (t *Table) SetWorkspaces(list []Credentials) {
	t.workspaces = make(map[KeyDigest]*Workspace)
	for _, c := range list {
		workspace := c.Workspace
		t.workspaceList = append(t.workspaceList, &workspace)
		for _, key := range c.Keys {
			holder, taken := t.workspaces[key]
			switch {
			case !taken:
				t.workspaces[key] = &workspace
			case holder.Name != workspace.Name:
				t.keyConflicts = append(t.keyConflicts, KeyConflict{Holder: holder.Name, Other: workspace.Name})
			}
		}
	}
}

// KeyConflicts returns the pairs of workspaces that name the same key.
func (t *Table) KeyConflicts() []KeyConflict { return t.keyConflicts }

// HasWorkspaces reports whether requests need a key, unless their route is public.
func (t *Table) HasWorkspaces() bool { return t.workspaces != nil }

// Workspaces returns the workspaces of the configuration. The slice must not be modified.
func (t *Table) Workspaces() []*Workspace { return t.workspaceList }

// WorkspaceByKey returns the workspace that has a key.
func (t *Table) WorkspaceByKey(key KeyDigest) (*Workspace, bool) {
	w, ok := t.workspaces[key]
	return w, ok
}

// priorityLevels is the number of priorities of routes that are told apart among requests
// of workspaces with the same priority.
const priorityLevels = 16

// Rank returns the order in which requests of a workspace on a route are admitted, 0 first:
// by the priority of the workspace, and among equal ones by that of the route. Without
// workspaces it is the priority of the route.
func (t *Table) Rank(route *Route, workspace *Workspace) int {
	if !t.HasWorkspaces() {
		return route.Priority
	}
	first := route.Priority
	if workspace != nil {
		first = workspace.Priority.OrElse(first)
	}
	return first*priorityLevels + min(max(route.Priority, 0), priorityLevels-1)
}
