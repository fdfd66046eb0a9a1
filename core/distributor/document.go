package distributor

import (
	"strings"

	"github.com/cespare/xxhash/v2"
	"jackdawcart.org/core/keeper"
	"jackdawcart.org/core/messenger/peerpb"
)

// Prefix is the range of store keys that hold service documents.
const Prefix = "services/"

// Limits on a document, so that it fits into one frame.
const (
	MaxDocumentBytes = 1<<20 - 4<<10
	maxServiceBytes  = 255
)

// Documents turns store entries into documents. It leaves out entries that are
// outside the prefix.
func Documents(entries []keeper.Entry) []*peerpb.Document {
	docs := make([]*peerpb.Document, 0, len(entries))
	for _, e := range entries {
		service, ok := strings.CutPrefix(e.Key, Prefix)
		if !ok {
			continue
		}
		doc := &peerpb.Document{Service: service, Revision: e.Revision, Body: e.Value}
		if keeper.IsTombstone(e.Value) {
			doc.Deleted, doc.Body = true, nil
		}
		docs = append(docs, doc)
	}
	return docs
}

func valid(doc *peerpb.Document) bool {
	return doc.GetService() != "" && doc.GetRevision() > 0 &&
		len(doc.GetService()) <= maxServiceBytes && len(doc.GetBody()) <= MaxDocumentBytes
}

// revisionHash is the share of one document in the hash of a configuration.
func revisionHash(doc *peerpb.Document) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(doc.GetRevision())
	_, _ = digest.WriteString(doc.GetService())
	return digest.Sum64()
}

// apply takes a document unless an equal or newer revision is known.
func (d *Distributor) apply(doc *peerpb.Document) bool {
	service := doc.GetService()
	if !valid(doc) || doc.GetRevision() < d.heard[service] {
		return false
	}
	if known, ok := d.documents[service]; ok {
		if doc.GetRevision() <= known.GetRevision() {
			return false
		}
		d.hash ^= revisionHash(known)
	}
	d.hash ^= revisionHash(doc)
	d.documents[service] = doc
	delete(d.heard, service)
	d.changed.Add(service)
	d.hearStore(doc.GetRevision())
	return true
}

func (d *Distributor) applyAll(docs []*peerpb.Document) []*peerpb.Document {
	var applied []*peerpb.Document
	for _, doc := range docs {
		if d.apply(doc) {
			applied = append(applied, doc)
		}
	}
	return applied
}

// hear notes that a revision exists, after which no older one is applied. It
// reports whether the revision is newer than the applied one.
func (d *Distributor) hear(r *peerpb.DocumentRevision) bool {
	service := r.GetService()
	if service == "" || len(service) > maxServiceBytes {
		return false
	}
	if r.GetRevision() <= d.documents[service].GetRevision() {
		return false
	}
	d.heard[service] = max(d.heard[service], r.GetRevision())
	d.hearStore(r.GetRevision())
	return true
}

func (d *Distributor) hearStore(revision uint64) {
	d.storeRevision = max(d.storeRevision, revision)
}
