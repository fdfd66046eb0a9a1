// Package adminapi defines the JSON types of the admin HTTP interface that
// gateways and relays serve to operators.
package adminapi

import (
	"net/netip"
	"time"

	"jackdawcart.org/core/parser"
)

// Paths of the views. All are read with GET.
const (
	PathMembers       = "/v1/admin/members"
	PathTargets       = "/v1/admin/targets"
	PathConfiguration = "/v1/admin/configuration"
	PathQuarantine    = "/v1/admin/quarantine"
	// PathExplain takes the parameters service and caller, or query-id.
	PathExplain = "/v1/admin/explain"
)

// Parameters of the explain view.
const (
	ParameterService = "service"
	ParameterCaller  = "caller"
	ParameterQueryID = "query-id"
)

// Origin identifies the process that produced a view, and when it did.
type Origin struct {
	Node          string `json:"node"`
	Process       string `json:"process"`
	FailureDomain string `json:"failure-domain"`
	// At is the time of the view by the clock of the node.
	At time.Time `json:"at"`
}

// Now returns the origin with the current time.
func (o Origin) Now() Origin {
	o.At = time.Now()
	return o
}

// CodeNotServed is the failure code, with status 404, of a process that does not
// serve the requested view, such as a relay that is asked to explain a query.
const CodeNotServed = "not-served"

// Failure is the body of a response with an error status.
type Failure struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Members is the membership view of a node.
type Members struct {
	Origin
	Members []Member `json:"members"`
}

// Member is one relay with the gateways of its VM.
type Member struct {
	Node          string `json:"node"`
	FailureDomain string `json:"failure-domain"`
	// State is one of the constants MemberAlive to MemberLeft.
	State          string         `json:"state"`
	Incarnation    uint64         `json:"incarnation"`
	SessionAddress netip.AddrPort `json:"session-address"`
	AdminAddress   netip.AddrPort `json:"admin-address"`
	// ChangedAt is when the node last observed a change of the state.
	ChangedAt time.Time `json:"changed-at"`
	Gateways  []Gateway `json:"gateways"`
}

// States of a member.
const (
	MemberAlive   = "alive"
	MemberSuspect = "suspect"
	MemberDead    = "dead"
	MemberLeaving = "leaving"
	MemberLeft    = "left"
)

// Gateway is a gateway process that is registered with a member.
type Gateway struct {
	Incarnation    uint64         `json:"incarnation"`
	CallerAddress  netip.AddrPort `json:"caller-address"`
	SessionAddress netip.AddrPort `json:"session-address"`
	AdminAddress   netip.AddrPort `json:"admin-address"`
	Ready          bool           `json:"ready"`
}

// Targets is the target table of a node.
type Targets struct {
	Origin
	Targets []Target `json:"targets"`
}

// Target is one target as a node sees it.
type Target struct {
	Service       string         `json:"service"`
	Set           string         `json:"set"`
	Name          string         `json:"name"`
	Address       netip.AddrPort `json:"address"`
	FailureDomain string         `json:"failure-domain"`
	// State is one of the constants TargetServing to TargetLost.
	State string `json:"state"`
	// Reason explains a state other than serving.
	Reason string `json:"reason,omitempty"`
	// Owners are the relays that hold the connections of the target.
	Owners      []string    `json:"owners"`
	Slots       int         `json:"slots"`
	Connections Connections `json:"connections"`
	// InFlight counts the requests of this node that the target is running.
	InFlight int `json:"in-flight"`
	// Queued counts the sub-requests that wait for the target on this node.
	Queued int `json:"queued"`
	// Limit is the current concurrency limit of this node for the target.
	Limit int `json:"limit"`
	// LastLoad is the load in the latest answer of the target.
	LastLoad   int             `json:"last-load"`
	LatencyP50 parser.Duration `json:"latency-p50"`
	LatencyP99 parser.Duration `json:"latency-p99"`
	Snapshots  []string        `json:"snapshots"`
}

// Connections counts the connections of a node to one target.
type Connections struct {
	// Limit is the number of connections that the target accepts in total, and
	// Allotment the part of it that this node may use.
	Limit     int `json:"limit"`
	Allotment int `json:"allotment"`
	Open      int `json:"open"`
	Busy      int `json:"busy"`
}

// States of a target.
const (
	TargetServing  = "serving"
	TargetStarting = "starting"
	TargetRampUp   = "ramp-up"
	TargetEjected  = "ejected"
	TargetLeaving  = "leaving"
	TargetLost     = "lost"
)

// Configuration is the configuration in force on a node.
type Configuration struct {
	Origin
	// Revision is the store revision up to which the node has the
	// configuration.
	Revision uint64 `json:"revision"`
	// NewestKnownRevision is the newest revision that the node knows to exist.
	NewestKnownRevision uint64 `json:"newest-heard"`
	// Age is the time since the revision was last confirmed by the store or by a
	// peer with an up-to-date view.
	Age parser.Duration `json:"age"`
	// Source is one of the constants SourceStore to SourceNone.
	Source string `json:"source"`
	// Reader reports whether the node reads the store for its failure domain.
	Reader   bool      `json:"reader"`
	Services []Service `json:"services"`
}

// Sources of a configuration.
const (
	SourceStore = "store"
	SourcePeer  = "peer"
	SourceNone  = "none"
)

// Service is the state of one service document on a node.
type Service struct {
	Service  string `json:"service"`
	Revision uint64 `json:"revision"`
	Edit     string `json:"edit,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
	// AppliedAt is when the node applied the revision.
	AppliedAt time.Time `json:"applied-at"`
}

// Quarantine is the quarantine of a node.
type Quarantine struct {
	Origin
	Entries  []QuarantineEntry `json:"entries"`
	Suspects []Suspect         `json:"suspects"`
}

// QuarantineEntry is a request that is refused because it crashes targets.
type QuarantineEntry struct {
	// Fingerprint is in hexadecimal. The request itself is never shown, because
	// it may contain data of a caller.
	Fingerprint string    `json:"fingerprint"`
	Service     string    `json:"service"`
	Operation   string    `json:"operation"`
	ReportedBy  string    `json:"reported-by"`
	LostTargets []string  `json:"lost-targets"`
	Since       time.Time `json:"since"`
	Until       time.Time `json:"until"`
	// Refused counts the requests that this node refused for the entry.
	Refused uint64 `json:"refused"`
}

// Suspect is a request that was in flight on one lost target.
type Suspect struct {
	Fingerprint string    `json:"fingerprint"`
	Service     string    `json:"service"`
	Operation   string    `json:"operation"`
	LostTarget  string    `json:"lost-target"`
	Since       time.Time `json:"since"`
}

// Explain describes how a node would answer a query, or how it answered one.
type Explain struct {
	Origin
	Service string `json:"service"`
	Caller  string `json:"caller"`
	// Revision is the store revision of the service document in force.
	Revision uint64 `json:"revision"`
	// CallerShare is the position of the caller in [0, 1). The caller is moved to
	// another set when its position is below the share of the move.
	CallerShare float64 `json:"caller-share"`
	Set         string  `json:"set"`
	SetReason   string  `json:"set-reason"`
	// Snapshots are the candidate snapshots, the chosen one first.
	Snapshots   []SnapshotChoice `json:"snapshots"`
	Deadline    parser.Duration  `json:"deadline"`
	Priority    string           `json:"priority"`
	HedgeDelay  parser.Duration  `json:"hedge-delay"`
	HedgeBudget float64          `json:"hedge-budget"`
	// Admitted reports whether the query would be admitted now.
	Admitted bool          `json:"admitted"`
	Shards   []ShardChoice `json:"shards"`
	// Coverage is the expected coverage.
	Coverage float64 `json:"coverage"`
	// Answered is present when the node has a record of the query.
	Answered *Answered `json:"answered,omitempty"`
}

// SnapshotChoice is one snapshot that a query may be pinned to.
type SnapshotChoice struct {
	Snapshot string  `json:"snapshot"`
	Sequence uint64  `json:"sequence"`
	Coverage float64 `json:"coverage"`
	Chosen   bool    `json:"chosen"`
}

// ShardChoice lists the replicas of one shard.
type ShardChoice struct {
	Shard  string  `json:"shard"`
	Weight float64 `json:"weight"`
	// Replicas are in order of preference.
	Replicas []ReplicaChoice `json:"replicas"`
}

// ReplicaChoice is one replica that may serve a shard.
type ReplicaChoice struct {
	Target        string `json:"target"`
	FailureDomain string `json:"failure-domain"`
	Relay         string `json:"relay"`
	Usable        bool   `json:"usable"`
	// Reason explains why a replica is not usable.
	Reason   string          `json:"reason,omitempty"`
	InFlight int             `json:"in-flight"`
	Latency  parser.Duration `json:"latency"`
}

// Answered is the record of one query.
type Answered struct {
	QueryID  string          `json:"query-id"`
	At       time.Time       `json:"at"`
	Outcome  string          `json:"outcome"`
	Coverage float64         `json:"coverage"`
	Snapshot string          `json:"snapshot"`
	Elapsed  parser.Duration `json:"elapsed"`
	Attempts []Attempt       `json:"attempts"`
}

// Attempt is one attempt of a sub-request.
type Attempt struct {
	Shard   string `json:"shard"`
	Attempt int    `json:"attempt"`
	// Cause is one of the constants CauseFirst to CauseRetry.
	Cause   string `json:"cause"`
	Target  string `json:"target"`
	Relay   string `json:"relay"`
	Outcome string `json:"outcome"`
	// Start is the time since the query arrived.
	Start   parser.Duration `json:"start"`
	Elapsed parser.Duration `json:"elapsed"`
}

// Causes of an attempt.
const (
	CauseFirst = "first"
	CauseHedge = "hedge"
	CauseRetry = "retry"
)
