package pooler

import (
	"bytes"
	"sync"
)

// maxPooledBodyBytes bounds the buffers returned to the pool, so that one large
// answer does not retain its memory.
const maxPooledBodyBytes = 64 << 10

// bodyPool holds buffers for response bodies. Decoded values never refer to the
// buffer that they were decoded from.
var bodyPool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

func putBody(body *bytes.Buffer) {
	if body.Cap() > maxPooledBodyBytes {
		return
	}
	body.Reset()
	bodyPool.Put(body)
}
