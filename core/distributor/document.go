package distributor

import (
	"strings"

	"github.com/cespare/xxhash/v2"
	"jackdawcart.org/core/keeper"
	"jackdawcart.org/core/messenger/peerpb"
)

// KeyPrefix is the prefix of the store keys that hold service documents.
const KeyPrefix = "services/"

// A document within these limits fits into one frame.
const (
	MaxDocumentBytes = 1<<20 - 4<<10
	maxServiceBytes  = 255
)

// DocumentsFromEntries converts store entries to documents. It skips entries
// outside the prefix.
func DocumentsFromEntries(entries []keeper.Entry) []*peerpb.Document {
	docs := make([]*peerpb.Document, 0, len(entries))
	for _, e := range entries {
		service, ok := strings.CutPrefix(e.Key, KeyPrefix)
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

func validDocument(doc *peerpb.Document) bool {
	return doc.GetService() != "" && doc.GetRevision() > 0 &&
		len(doc.GetService()) <= maxServiceBytes && len(doc.GetBody()) <= MaxDocumentBytes
}

// revisionHash returns the contribution of one document to the hash of a
// configuration.
func revisionHash(doc *peerpb.Document) uint64 {
	var digest xxhash.Digest
	digest.ResetWithSeed(doc.GetRevision())
	_, _ = digest.WriteString(doc.GetService())
	return digest.Sum64()
}

// applyDocument applies a document unless an equal or newer revision is applied
// or a newer one is announced. It reports whether the document was applied.
func (d *Distributor) applyDocument(doc *peerpb.Document) bool {
	service := doc.GetService()
	if !validDocument(doc) || doc.GetRevision() < d.announced[service] {
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
	delete(d.announced, service)
	d.changedServices.Add(service)
	d.raiseStoreRevision(doc.GetRevision())
	return true
}

func (d *Distributor) applyDocuments(docs []*peerpb.Document) []*peerpb.Document {
	var applied []*peerpb.Document
	for _, doc := range docs {
		if d.applyDocument(doc) {
			applied = append(applied, doc)
		}
	}
	return applied
}

// recordAnnouncement records that a revision exists, so that no older one is
// applied. It reports whether the revision is newer than the applied one.
func (d *Distributor) recordAnnouncement(r *peerpb.DocumentRevision) bool {
	service := r.GetService()
	if service == "" || len(service) > maxServiceBytes {
		return false
	}
	if r.GetRevision() <= d.documents[service].GetRevision() {
		return false
	}
	d.announced[service] = max(d.announced[service], r.GetRevision())
	d.raiseStoreRevision(r.GetRevision())
	return true
}

func (d *Distributor) raiseStoreRevision(revision uint64) {
	d.storeRevision = max(d.storeRevision, revision)
}
