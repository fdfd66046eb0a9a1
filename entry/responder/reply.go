package responder

import "jackdawcart.org/entry/courier"

// reply is what a call learns of one of its sub-requests.
type reply struct {
	shard, attempt int
	target         string
	reply          courier.Reply
	fate           fate
}

// fate is what is known of a target that ended the connection before its answer.
type fate int

const (
	// notBroken targets have not ended the connection.
	notBroken fate = iota
	// unexplained targets are being probed. Another reply follows.
	unexplained
	alive
	crashed
)

func fateOf(hasCrashed bool) fate {
	if hasCrashed {
		return crashed
	}
	return alive
}

// repliesPerAttempt is the largest number of replies to one sub-request.
const repliesPerAttempt = 2
