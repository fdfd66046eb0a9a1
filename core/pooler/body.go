package pooler

import (
	"bytes"
	"sync"
)

// keptBody bounds the buffers that are used again, so that one large answer
// does not hold its memory.
const keptBody = 64 << 10

// bodies holds buffers for the bodies of answers. Nothing that is decoded from
// a body refers to its buffer.
var bodies = sync.Pool{New: func() any { return new(bytes.Buffer) }}

func keep(body *bytes.Buffer) {
	if body.Cap() > keptBody {
		return
	}
	body.Reset()
	bodies.Put(body)
}
