package merger

import (
	"bytes"
	"slices"
)

// RecordSize is the size of a record in bytes.
const RecordSize = 16

// Records returns the greatest records of several parts in byte order, at most
// limit of them, greatest first. It keeps duplicates and ignores an incomplete
// record at the end of a part.
func Records(parts [][]byte, limit int) []byte {
	var all [][]byte
	for _, part := range parts {
		for ; len(part) >= RecordSize; part = part[RecordSize:] {
			all = append(all, part[:RecordSize])
		}
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	if len(all) > limit {
		all = all[:limit]
	}
	return bytes.Join(all, nil)
}
